package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.forwarding.RolloutFixture.rollout
import org.hibiscusproxy.forwarding.RolloutFixture.target
import org.hibiscusproxy.forwarding.RoutingFixture.orders
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.rollout.ExposureLimits
import org.hibiscusproxy.rollout.Rollout
import org.hibiscusproxy.rollout.RolloutPhase
import org.hibiscusproxy.rollout.RolloutPhase.COMPLETED
import org.hibiscusproxy.rollout.RolloutPhase.EXPANDING
import org.hibiscusproxy.rollout.RolloutPhase.MOVING
import org.hibiscusproxy.rollout.RolloutPhase.ROLLED_BACK
import org.hibiscusproxy.rollout.RolloutPhase.TRIAL
import org.junit.jupiter.api.Nested

/** Guards against requests that go to a version beyond its share, and against lost capacity. */
class RolloutTargetsTest {
    private val time = TestTimeSource()
    private val random = Random(1)
    private val decisions = ArrayList<ExposureDecision>()
    private val old = (1..4).map { target(it, "v1") }
    private val new = (11..14).map { target(it, "v2") }
    private val rollouts =
        RolloutTargets(ExposureLimits(0.1, 0.0), time, random) { _, decision ->
            decisions += decision
        }
    private val selector = TargetSelector(2.0, time, random, rollouts = rollouts)

    private fun list(vararg targets: List<DiscoveredTarget>) =
        selector.updateTargets(targets.toList().flatten())

    private fun order(vararg orders: Rollout) =
        selector.updateRouting(RoutingFixture.services, emptySet(), orders.toList())

    private fun start(phase: RolloutPhase) {
        order()
        list(old, new)
        order(rollout())
        order(rollout(phase))
    }

    private fun choose(
        versions: VersionChoice = VersionChoice.Any,
        excluded: Set<TargetName> = emptySet(),
    ) = selector.choose(PlacementRequest(orders, null, 1.seconds, 5.seconds, excluded, versions))

    private fun versionOf(choice: PlacementChoice): String? =
        (choice as? PlacementChoice.Chosen)?.target?.version?.value

    /** Requests of [count] that each version gets; null for refused ones. */
    private fun place(count: Int, versions: VersionChoice = VersionChoice.Any): Map<String?, Int> =
        (1..count).groupingBy { versionOf(choose(versions)) }.eachCount()

    private fun only(version: String) = VersionChoice.Only(SoftwareVersion(version))

    private fun registered(vararg versions: String) =
        VersionChoice.Registered(versions.mapTo(HashSet(), ::SoftwareVersion))

    private fun fail(targets: List<DiscoveredTarget>) = targets.forEach {
        selector.end(selector.begin(it.name, null), AttemptResult.UNREACHABLE)
    }

    private fun reason(choice: PlacementChoice) = assertIs<PlacementChoice.Refused>(choice).reason

    @Nested
    inner class Trial {
        @Test
        fun `sends the version its share, to the same few targets at all forwarders`() {
            start(TRIAL)
            assertEquals(mapOf<String?, Int>("v1" to 940, "v2" to 59), place(999))
            assertEquals(59, decisions.count { it == ExposureDecision.SENT })
            assertEquals(940, decisions.count { it == ExposureDecision.HELD_BACK })
            val chosen = generateSequence { choose() }
                .filterIsInstance<PlacementChoice.Chosen>()
                .map { it.target }
                .filter { it.version?.value == "v2" }
                .take(50).toSet()
            val other = TargetSelector(2.0, time, Random(2)).apply {
                updateRouting(RoutingFixture.services, emptySet(), listOf(rollout()))
                updateTargets(new + old)
            }
            val request = PlacementRequest(orders, null, 1.seconds, 5.seconds)
            val chosenByOther = generateSequence { other.choose(request) }
                .filterIsInstance<PlacementChoice.Chosen>()
                .map { it.target }
                .filter { it.version?.value == "v2" }
                .take(50).toSet()
            assertEquals(2, chosen.size)
            assertEquals(chosen, chosenByOther)
        }

        @Test
        fun `sends nothing more if all other targets are suspended, paused or gone`() {
            start(TRIAL)
            fail(old)
            assertEquals(940, place(999)["v1"])
            old.forEach { selector.recordPause(it.name, 300.milliseconds) }
            assertTrue(place(100).getOrDefault("v2", 0) <= 2)
            assertEquals(RefusalReason.PAUSED, reason(choose()))
            list(new)
            assertTrue(place(100).getOrDefault("v2", 0) <= 2)
            assertEquals(RefusalReason.NO_TARGET, reason(choose()))
        }

        @Test
        fun `sends requests elsewhere while the version is suspended or not listed yet`() {
            start(TRIAL)
            fail(new)
            assertEquals(mapOf<String?, Int>("v1" to 100), place(100))
            list(old)
            assertEquals(mapOf<String?, Int>("v1" to 100), place(100))
            list(old, new)
            assertTrue(place(100).getValue("v2") in 6..9)
        }

        @Test
        fun `counts retries`() {
            start(TRIAL)
            place(1_000)
            val tried = old.mapTo(HashSet()) { it.name }
            repeat(50) { assertEquals(RefusalReason.NO_TARGET, reason(choose(excluded = tried))) }
        }

        @Test
        fun `keeps streams at the version that began them`() {
            start(TRIAL)
            assertEquals(mapOf<String?, Int>("v1" to 200), place(200, only("v1")))
            repeat(20) { assertEquals("v2", versionOf(choose(only("v2")))) }
            val refused = (1..50).map { choose(only("v2")) }.first { versionOf(it) == null }
            assertEquals(RefusalReason.NO_TARGET, reason(refused))
            assertEquals(null, place(50, registered("v1"))["v2"])
        }
    }

    @Nested
    inner class LaterPhases {
        @Test
        fun `expanding sends half`() {
            start(EXPANDING)
            assertTrue(place(1_000).getValue("v2") in 498..502)
        }

        @Test
        fun `moving sends all but bound streams, and what the version cannot take`() {
            start(MOVING)
            assertEquals(mapOf<String?, Int>("v2" to 100), place(100))
            assertEquals(mapOf<String?, Int>("v1" to 100), place(100, only("v1")))
            assertEquals(mapOf<String?, Int>("v1" to 100), place(100, registered("v1")))
            fail(new)
            assertEquals(mapOf<String?, Int>("v1" to 100), place(100))
            list(new)
            assertEquals(mapOf<String?, Int>("v2" to 100), place(100, registered("v1")))
        }

        @Test
        fun `completed excludes the targets of other versions known before`() {
            start(MOVING)
            order(rollout(COMPLETED))
            assertEquals(mapOf<String?, Int>("v2" to 100), place(100))
            assertEquals(mapOf<String?, Int>("v2" to 100), place(100, registered("v1")))
            assertEquals(RefusalReason.VERSION_GONE, reason(choose(only("v1"))))
            assertFalse(selector.takesRequests(old[0].name))
            list(old.take(2) + target(3, "v1", startedAt = 2) + target(5, "v1"))
            val later = (1..100).map { assertIs<PlacementChoice.Chosen>(choose()).target.name }
            assertEquals(setOf("orders-3", "orders-5"), later.mapTo(HashSet()) { it.value })
            order(rollout(TRIAL, "v3", number = 2))
            assertEquals(later.toSet(), (1..100).mapNotNullTo(HashSet()) { chosenName() })
        }

        private fun chosenName() = (choose() as? PlacementChoice.Chosen)?.target?.name

        @Test
        fun `completed excludes nothing at a process that starts later`() {
            list(old)
            order(rollout(COMPLETED))
            assertEquals(mapOf<String?, Int>("v1" to 10), place(10))
        }

        @Test
        fun `completed while controllers were lost excludes the targets listed then`() {
            order()
            list(old)
            order(rollout(COMPLETED))
            assertEquals(RefusalReason.NO_TARGET, reason(choose()))
        }

        @Test
        fun `rolled back excludes the version until an order names it`() {
            start(TRIAL)
            order(rollout(ROLLED_BACK))
            assertEquals(mapOf<String?, Int>("v1" to 100), place(100))
            assertEquals(RefusalReason.VERSION_GONE, reason(choose(only("v2"))))
            assertFalse(selector.takesRequests(new[0].name))
            list(new)
            assertEquals(RefusalReason.NO_TARGET, reason(choose()))
            order(rollout(MOVING, "v3", number = 2))
            assertEquals(RefusalReason.NO_TARGET, reason(choose()))
            order(rollout(MOVING, "v2", number = 3))
            assertEquals("v2", versionOf(choose()))
        }

        @Test
        fun `rolled back of an earlier order excludes its version at a new process`() {
            list(old, new)
            order(rollout(ROLLED_BACK), rollout(TRIAL, "v3", number = 2))
            assertEquals(mapOf<String?, Int>("v1" to 100), place(100))
        }
    }

    @Nested
    inner class WithoutControllers {
        @Test
        fun `nothing goes to the version after two seconds, bound streams included`() {
            for (phase in listOf(TRIAL, EXPANDING, MOVING)) {
                start(phase)
                time += 2.seconds
                assertTrue(place(100).getValue("v2") > 0, "$phase")
                time += 1.milliseconds
                assertEquals(mapOf<String?, Int>("v1" to 100), place(100), "$phase")
                assertEquals(RefusalReason.NO_TARGET, reason(choose(only("v2"))), "$phase")
                rollouts.recordContact()
                assertTrue(place(100).getValue("v2") > 0, "$phase")
            }
        }

        @Test
        fun `all goes to the version in the move after the others have stopped`() {
            start(MOVING)
            time += 3.seconds
            fail(old)
            assertEquals(mapOf<String?, Int>("v2" to 100), place(100))
            time += TargetHealth.LONGEST_SUSPENSION
            assertEquals(mapOf<String?, Int>("v2" to 100), place(100))
        }
    }
}
