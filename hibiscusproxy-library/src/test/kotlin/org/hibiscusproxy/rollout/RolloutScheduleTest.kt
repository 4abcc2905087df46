package org.hibiscusproxy.rollout

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.control.FleetInstant
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion
import org.junit.jupiter.api.Nested

/** Guards against a phase that ends too early, never, or against the evidence. */
class RolloutScheduleTest {
    private val orderedAt = FleetInstant(50_000)

    private fun next(
        phase: RolloutPhase,
        at: Duration,
        leadingFor: Duration = 1.seconds,
        phaseFor: Duration = 1.seconds,
        listedFor: Duration? = 5.seconds,
        hasMoved: Boolean = false,
        verdict: RolloutVerdict = RolloutVerdict.Good,
    ): RolloutPhase? {
        val rollout =
            Rollout(ServiceName("s"), 1, SoftwareVersion("v2"), orderedAt, 10_000, phase)
        val progress =
            RolloutProgress(orderedAt + at, leadingFor, phaseFor, listedFor, hasMoved, verdict)
        return RolloutSchedule.next(rollout, progress)?.phase
    }

    @Nested
    inner class Trials {
        @Test
        fun `end at their part of the duration`() {
            assertEquals(null, next(RolloutPhase.TRIAL, 6_190.milliseconds))
            assertEquals(RolloutPhase.EXPANDING, next(RolloutPhase.TRIAL, 6_200.milliseconds))
        }

        @Test
        fun `last until the leader had a second for the evidence, unless the deadline is near`() {
            val young = 900.milliseconds
            assertEquals(null, next(RolloutPhase.TRIAL, 7.seconds, leadingFor = young))
            assertEquals(
                RolloutPhase.EXPANDING,
                next(RolloutPhase.TRIAL, 7_800.milliseconds, leadingFor = young),
            )
        }

        @Test
        fun `without listed targets are rolled back at the deadline`() {
            assertEquals(null, next(RolloutPhase.TRIAL, 9_990.milliseconds, listedFor = null))
            assertEquals(
                RolloutPhase.ROLLED_BACK,
                next(RolloutPhase.TRIAL, 10.seconds, listedFor = null),
            )
        }

        @Test
        fun `that a leader finds after the deadline are rolled back at once`() = assertEquals(
            RolloutPhase.ROLLED_BACK,
            next(RolloutPhase.TRIAL, 11.seconds, leadingFor = Duration.ZERO),
        )
    }

    @Nested
    inner class Expansions {
        @Test
        fun `end after their part of the duration`() {
            val phase = RolloutPhase.EXPANDING
            assertEquals(null, next(phase, 7.seconds, phaseFor = 790.milliseconds))
            val moving = next(phase, 7.seconds, phaseFor = 800.milliseconds)
            assertEquals(RolloutPhase.MOVING, moving)
        }

        @Test
        fun `last longer while too few answers were seen`() {
            val phase = RolloutPhase.EXPANDING
            val verdict = RolloutVerdict.Undecided
            assertEquals(null, next(phase, 7_990.milliseconds, verdict = verdict))
            assertEquals(RolloutPhase.MOVING, next(phase, 8.seconds, verdict = verdict))
        }
    }

    @Nested
    inner class Moves {
        @Test
        fun `complete when all requests have moved`() {
            assertEquals(null, next(RolloutPhase.MOVING, 8.seconds))
            assertEquals(
                RolloutPhase.COMPLETED,
                next(RolloutPhase.MOVING, 8.seconds, hasMoved = true),
            )
        }

        @Test
        fun `complete shortly before the deadline although requests have not moved`() {
            assertEquals(null, next(RolloutPhase.MOVING, 9_190.milliseconds))
            assertEquals(RolloutPhase.COMPLETED, next(RolloutPhase.MOVING, 9_200.milliseconds))
        }

        @Test
        fun `that a leader finds after the deadline complete at once`() = assertEquals(
            RolloutPhase.COMPLETED,
            next(RolloutPhase.MOVING, 11.seconds, leadingFor = Duration.ZERO),
        )
    }

    @Test
    fun `bad versions are rolled back in every phase that runs`() {
        val bad = RolloutVerdict.Bad("test")
        val phases = RolloutPhase.entries.filter { it.isRunning }
        assertEquals(
            phases.map { RolloutPhase.ROLLED_BACK },
            phases.map { next(it, 1.seconds, verdict = bad) },
        )
    }
}
