package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.forwarding.RolloutFixture.rollout
import org.hibiscusproxy.forwarding.RolloutFixture.target
import org.hibiscusproxy.forwarding.RoutingFixture.orders
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.FleetLoad
import org.hibiscusproxy.rollout.ExposureLimits
import org.hibiscusproxy.rollout.RolloutPhase
import org.junit.jupiter.api.Nested

/**
 * Guards against forwarders that together send a bad version more than its share of the requests
 * plus the slack, and against streams that go on at another version. A rollout of 12 s is rolled
 * back before the move.
 */
class RolloutExposureSimulationTest {
    private val limits = ExposureLimits(share = 0.1, slack = 50.0)

    private inner class Fleet(seed: Int, private val faults: Faults) {
        private val time = TestTimeSource()
        private val random = Random(seed)
        private val targets = (1..20).map { target(it, "v1") } + (21..40).map { target(it, "v2") }
        private val forwarders = MutableList(FORWARDERS) { Forwarder() }
        private var phase = RolloutPhase.TRIAL
        private val streams = ArrayList<VersionChoice.Only>()
        private var areOthersFailing = false
        private var endOfExposure: ComparableTimeMark? = null
        var requests = 0
        var exposed = 0
        var exposedLate = 0

        private inner class Forwarder {
            val rollouts = RolloutTargets(limits, time, random)
            val selector = TargetSelector(2.0, time, random, rollouts = rollouts).also {
                it.updateTargets(targets)
                it.updateFleetLoad(FleetLoad(FORWARDERS, emptyList()))
            }
            var lostUntil = time.markNow()
            var known: RolloutPhase? = null

            fun hear() {
                if (lostUntil.hasNotPassedNow()) return
                rollouts.recordContact()
                if (known == phase) return
                known = phase
                selector.updateRouting(RoutingFixture.services, emptySet(), listOf(rollout(phase)))
            }

            fun send() {
                val bound = if (random.nextInt(5) == 0) streams.randomOrNull(random) else null
                val tried = HashSet<TargetName>()
                repeat(4) {
                    val versions = bound ?: VersionChoice.Any
                    val request =
                        PlacementRequest(orders, null, 1.seconds, 5.seconds, tried, versions)
                    val target = (selector.choose(request) as? PlacementChoice.Chosen)?.target
                        ?: return
                    if (tried.isEmpty()) requests += 1
                    val isExposed = target.version?.value == "v2"
                    if (isExposed) exposed += 1
                    if (isExposed && endOfExposure?.hasPassedNow() == true) exposedLate += 1
                    if (bound != null) assertEquals(bound.version, target.version)
                    tried += target.name
                    val isFailed = if (isExposed) random.nextInt(3) == 0 else areOthersFailing
                    val result = if (isFailed) AttemptResult.FAILED else AttemptResult.ANSWERED
                    selector.end(selector.begin(target.name, null), result)
                    if (random.nextInt(10) == 0) streams += VersionChoice.Only(target.version)
                    if (!isFailed) return
                }
            }
        }

        fun run(): Fleet {
            repeat(STEPS) { step ->
                time += STEP
                phase = when {
                    step < STEPS * 0.62 -> RolloutPhase.TRIAL
                    step < STEPS * 0.70 -> RolloutPhase.EXPANDING
                    else -> RolloutPhase.ROLLED_BACK
                }
                if (phase == RolloutPhase.ROLLED_BACK && endOfExposure == null) {
                    endOfExposure = time.markNow() + EXPOSURE_WITHOUT_CONTROLLERS
                }
                areOthersFailing = faults.othersFail && step % (STEPS / 3) > STEPS / 6
                val index = random.nextInt(FORWARDERS)
                if (faults.restart && random.nextInt(STEPS / 70) == 0) {
                    forwarders[index] = Forwarder()
                }
                if (faults.loseControllers && random.nextInt(STEPS / 70) == 0) {
                    forwarders[index].lostUntil = time.markNow() + random.nextInt(8).seconds
                }
                if (step % 20 == 0) forwarders.forEach { it.hear() }
                forwarders[random.nextInt(FORWARDERS)].send()
            }
            return this
        }
    }

    private class Faults(
        val restart: Boolean = false,
        val loseControllers: Boolean = false,
        val othersFail: Boolean = false,
    )

    private fun check(faults: Faults) = (1..SEEDS).forEach { seed ->
        val fleet = Fleet(seed, faults).run()
        val bound = limits.share * fleet.requests + limits.slack
        assertTrue(fleet.exposed <= bound, "${fleet.exposed} of ${fleet.requests}, seed $seed")
    }

    @Nested
    inner class ExposureStaysWithinLimits {
        @Test
        fun `without faults, and is not far below`() = (1..SEEDS).forEach { seed ->
            val fleet = Fleet(seed, Faults()).run()
            val isInRange = fleet.exposed in fleet.requests / 20..fleet.requests / 10
            assertTrue(isInRange, "${fleet.exposed} of ${fleet.requests}, seed $seed")
        }

        @Test
        fun `when processes restart`() = check(Faults(restart = true))

        @Test
        fun `when all other targets fail`() = check(Faults(othersFail = true))

        @Test
        fun `when controllers are lost, restarts and failures included`() =
            check(Faults(restart = true, loseControllers = true, othersFail = true))

        @Test
        fun `when forwarders miss the end of the rollout`() = (1..SEEDS).forEach { seed ->
            val fleet = Fleet(seed, Faults(loseControllers = true)).run()
            assertEquals(0, fleet.exposedLate, "seed $seed")
        }
    }

    private companion object {
        const val SEEDS = 20
        const val FORWARDERS = 35
        const val STEPS = 2_400
        val STEP = 5.milliseconds

        /** Time without a message after which forwarders stop, and the interval of messages. */
        val EXPOSURE_WITHOUT_CONTROLLERS = 2.1.seconds
    }
}
