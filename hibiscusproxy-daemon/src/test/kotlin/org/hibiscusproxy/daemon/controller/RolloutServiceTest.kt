package org.hibiscusproxy.daemon.controller

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.control.RolloutOutcome
import org.hibiscusproxy.rollout.RolloutPhase
import org.hibiscusproxy.timeline.FleetEvent
import org.junit.jupiter.api.Nested
import org.slf4j.LoggerFactory

/** Guards against rollouts that end late, wrongly, or are lost with controllers. */
class RolloutServiceTest {
    private val log = LoggerFactory.getLogger("org.hibiscusproxy.daemon.controller") as Logger

    @BeforeTest
    fun hideElections() {
        log.level = Level.WARN
    }

    @AfterTest
    fun showElections() {
        log.level = null
    }

    private fun RolloutFleet.phase(): RolloutPhase? = read()?.phase

    /** Phases that reads saw, and the time at which the rollout ended. */
    private fun RolloutFleet.follow(limit: Duration): Pair<List<RolloutPhase>, Duration> {
        val startedAt = elapsed
        val seen = LinkedHashSet<RolloutPhase>()
        while (elapsed - startedAt < limit) {
            val phase = checkNotNull(phase())
            seen += phase
            if (!phase.isRunning) break
            run(100.milliseconds)
        }
        return seen.toList() to elapsed - startedAt
    }

    @Nested
    inner class `Without faults` {
        @Test
        fun `a good version completes in time, through all phases`() {
            val fleet = RolloutFleet(1).apply { start() }
            val (phases, duration) = fleet.follow(15.seconds)
            assertEquals(RolloutPhase.entries - RolloutPhase.ROLLED_BACK, phases)
            assertTrue(duration < RolloutFleet.DURATION, "completed after $duration")
            val events = checkNotNull(fleet.leader).events
                .filterIsInstance<FleetEvent.RolloutPhaseEntered>()
            assertEquals(phases, events.map { it.phase })
        }

        @Test
        fun `a version waits for requests at the old targets until the deadline is near`() {
            val fleet = RolloutFleet(1).apply { hasEndlessRequest = true }
            fleet.start()
            fleet.run(10_500.milliseconds)
            assertEquals(RolloutPhase.MOVING, fleet.phase())
            val (_, duration) = fleet.follow(2.seconds)
            assertEquals(RolloutPhase.COMPLETED, fleet.phase())
            assertTrue(duration < 1_500.milliseconds, "completed $duration later")
        }

        @Test
        fun `a bad version is rolled back during the trial`() {
            val fleet = RolloutFleet(1, failureShare = 0.5).apply { start() }
            assertEquals(
                listOf(RolloutPhase.TRIAL, RolloutPhase.ROLLED_BACK),
                fleet.follow(15.seconds).first,
            )
        }

        @Test
        fun `a version without targets is rolled back at the deadline`() {
            val fleet = RolloutFleet(1).apply { start() }
            fleet.targets = fleet.targets.filter { it.name.value.startsWith("old") }
            val (phases, duration) = fleet.follow(15.seconds)
            assertEquals(listOf(RolloutPhase.TRIAL, RolloutPhase.ROLLED_BACK), phases)
            assertTrue(duration >= RolloutFleet.DURATION - 100.milliseconds, "after $duration")
        }

        @Test
        fun `orders are repeated, refused and read`() {
            val fleet = RolloutFleet(1)
            fleet.runUntil { fleet.leader != null }
            assertEquals(RoutingReply.RolloutRefused(RolloutOutcome.NoConfiguration), fleet.order())
            fleet.publish()
            assertEquals(null, fleet.read())
            fleet.start()
            assertEquals(RoutingReply.Done, fleet.order())
            val refused = assertIs<RoutingReply.RolloutRefused>(fleet.order("v3"))
            assertIs<RolloutOutcome.Conflict>(refused.outcome)
            assertEquals(1, fleet.read()?.number)
            val status = checkNotNull(fleet.leader).operator(OperatorRequest.ReadStatus).get()
            val report = assertIs<OperatorReply.Status>(status).report.rollouts.single()
            assertEquals("trial", report.phase)
            assertTrue(report.remainingMilliseconds in 1L..12_000L, "$report")
        }
    }

    /** More seeds: `-Drollouts.seeds=500`. */
    @Nested
    inner class `With faults of controllers` {
        private val seeds = 1..Integer.getInteger("rollouts.seeds", 25)

        /** The leader is lost early enough for an election before the deadline. */
        private fun RolloutFleet.loseLeader(isWiped: Boolean) {
            run(random.nextInt(500, 8_500).milliseconds)
            restartLeader(random.nextInt(100, 1_500).milliseconds, isWiped)
        }

        private fun assertEnds(expected: RolloutPhase, failureShare: Double, isWiped: Boolean) {
            val wrong = seeds.mapNotNull { seed ->
                val fleet = RolloutFleet(seed, failureShare).apply { start() }
                val startedAt = fleet.elapsed
                fleet.loseLeader(isWiped)
                fleet.runUntil(startedAt + RolloutFleet.DURATION - fleet.elapsed) { false }
                val rollout = fleet.read()
                "seed $seed: $rollout".takeIf { rollout?.phase != expected }
            }
            assertEquals("", wrong.joinToString("\n"))
        }

        @Test
        fun `a good version completes by the deadline although the leader changes`() =
            assertEnds(RolloutPhase.COMPLETED, failureShare = 0.0, isWiped = false)

        @Test
        fun `a good version completes by the deadline although the leader loses its disk`() =
            assertEnds(RolloutPhase.COMPLETED, failureShare = 0.0, isWiped = true)

        @Test
        fun `a bad version is rolled back although the leader changes`() =
            assertEnds(RolloutPhase.ROLLED_BACK, failureShare = 0.5, isWiped = false)

        @Test
        fun `a rollout goes on after a power loss of all controllers`() = seeds.forEach { seed ->
            val fleet = RolloutFleet(seed).apply { start() }
            fleet.run(fleet.random.nextInt(0, 9_000).milliseconds)
            val before = checkNotNull(fleet.read())
            fleet.losePower(1.seconds)
            val after = checkNotNull(fleet.read())
            assertEquals(before.number, after.number, "seed $seed")
            assertTrue(after.phase >= before.phase, "seed $seed: $before became $after")
            fleet.follow(15.seconds)
            assertEquals(RolloutPhase.COMPLETED, fleet.phase(), "seed $seed")
        }
    }
}
