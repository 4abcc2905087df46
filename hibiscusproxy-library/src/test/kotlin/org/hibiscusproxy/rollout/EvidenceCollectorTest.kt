package org.hibiscusproxy.rollout

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.forwarding.RolloutFixture.rollout
import org.hibiscusproxy.forwarding.RolloutFixture.target
import org.hibiscusproxy.model.TargetName
import org.junit.jupiter.api.Nested

/** Guards against evidence that is lost, counted twice or given to the wrong version. */
class EvidenceCollectorTest {
    private val collector = EvidenceCollector().apply { updateRollouts(listOf(rollout())) }

    private fun times(vararg classes: Int) =
        List(AnswerTimes.COUNT) { index -> classes.count { it == index } }

    @Nested
    inner class Counts {
        @Test
        fun `tell targets under trial apart and add up the others`() {
            collector.recordAnswer("chat", target(1, "v1"))
            collector.recordFailure("chat", target(2, "v1"))
            collector.recordAnswer("chat", target(3, "v2"))
            collector.recordFailure("mail", target(4, "v2"))
            val expected = setOf(
                VersionEvidence(1, "chat", null, 1, 1),
                VersionEvidence(1, "chat", TargetName("orders-3"), 1, 0),
                VersionEvidence(1, "mail", TargetName("orders-4"), 0, 1),
            )
            assertEquals(expected, collector.takeChanged().toSet())
        }

        @Test
        fun `hold times by class and those between events under a name of their own`() {
            collector.recordTime("chat", target(3, "v2"), 1.milliseconds)
            collector.recordTime("chat", target(3, "v2"), 100.milliseconds)
            collector.recordTime("chat", target(3, "v2"), (-5).milliseconds)
            collector.recordGap("chat", target(3, "v2"), 2.milliseconds)
            val name = TargetName("orders-3")
            val hundred = AnswerTimes.classOf(100.milliseconds)
            val expected = listOf(
                VersionEvidence(1, "chat", name, 0, 0, times(0, 0, hundred)),
                VersionEvidence(1, "chat#gap", name, 0, 0, times(2)),
            )
            assertEquals(expected, collector.takeChanged())
        }

        @Test
        fun `are cumulative and reported when they change, and all of them to a new leader`() {
            collector.recordAnswer("chat", target(1, "v1"))
            collector.recordAnswer("chat", target(3, "v2"))
            assertEquals(2, collector.takeChanged().size)
            collector.recordAnswer("chat", target(1, "v1"))
            assertEquals(
                listOf(VersionEvidence(1, "chat", null, 2, 0)),
                collector.takeChanged(),
            )
            assertEquals(emptyList(), collector.takeChanged())
            collector.reportAgain()
            assertEquals(listOf(2, 1), collector.takeChanged().map { it.answers })
        }
    }

    @Nested
    inner class Rollouts {
        @Test
        fun `keep their counts over phases and lose them at the end`() {
            collector.recordAnswer("chat", target(1, "v1"))
            collector.updateRollouts(listOf(rollout(RolloutPhase.MOVING)))
            assertEquals(1, collector.takeChanged().size)
            collector.recordAnswer("chat", target(1, "v1"))
            collector.updateRollouts(listOf(rollout(RolloutPhase.COMPLETED)))
            collector.recordAnswer("chat", target(1, "v1"))
            assertEquals(emptyList(), collector.takeChanged())
        }

        @Test
        fun `that follow another one begin without counts`() {
            collector.recordAnswer("chat", target(1, "v1"))
            collector.updateRollouts(listOf(rollout(number = 2)))
            assertEquals(emptyList(), collector.takeChanged())
        }
    }
}
