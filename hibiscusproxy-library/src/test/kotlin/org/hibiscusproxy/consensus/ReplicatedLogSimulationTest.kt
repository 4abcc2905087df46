package org.hibiscusproxy.consensus

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.model.ProcessName
import org.junit.jupiter.api.Nested

/**
 * Guards against violations of the log's guarantees under random faults. A failure reports its
 * seed; `-Dconsensus.seed=N` runs only that seed, `-Dconsensus.seeds=N` the first N seeds, and
 * `-Dconsensus.loss.seeds=N` at most N of them in the runs with lost disks.
 */
class ReplicatedLogSimulationTest {
    private val seeds: Iterable<Long> =
        System.getProperty("consensus.seed")?.toLong()?.let(::listOf)
            ?: (1L..(System.getProperty("consensus.seeds")?.toLong() ?: DEFAULT_SEEDS))

    @Nested
    inner class RandomFaults {
        @Test
        fun `three replicas keep what they acknowledged`() = runSeeds(size = 3)

        @Test
        fun `five replicas keep what they acknowledged`() = runSeeds(size = 5)
    }

    /** Wiped and removed replicas rejoin by announcing themselves, without an operator. */
    @Nested
    inner class AutomaticMembers {
        @Test
        fun `three replicas keep what they acknowledged`() =
            runSeeds(size = 3, MembershipReconciler(3, UNREACHABLE_LIMIT))

        @Test
        fun `five replicas keep what they acknowledged`() =
            runSeeds(size = 5, MembershipReconciler(3, UNREACHABLE_LIMIT))

        /**
         * Guards against counting the time without contact from the leader's start, which removes a
         * newly added replica and adds it again repeatedly.
         */
        @Test
        fun `a wiped replica is added once, however long the leader has led`() {
            val simulation =
                Simulation(1, 3, reconciler = MembershipReconciler(2, UNREACHABLE_LIMIT))
            simulation.start()
            simulation.run(milliseconds = 10_000)
            val leader = checkNotNull(simulation.leader)
            val wiped = (1..3).map(simulation::replica).first { it != leader }
            wiped.wipe()
            simulation.restart(wiped)
            val answers = Link(wiped.name, leader.name)
            val seen = (1..150).map { step ->
                simulation.run(milliseconds = 20)
                val isAdded = wiped.name in checkNotNull(leader.log).membership.members
                // Delays the replica's first replies as a member by half a second.
                if (isAdded && step < DELAYED_STEPS) simulation.network.blocked += answers
                if (step == DELAYED_STEPS) simulation.network.blocked -= answers
                simulation.restoreVoters()
                checkNotNull(leader.log).membership.members[wiped.name]
            }
            val additions = seen.zipWithNext().count { (before, after) ->
                before?.identity != wiped.identity && after?.identity == wiped.identity
            }
            assertEquals(1, additions, "${seen.distinct()}")
            assertTrue(checkNotNull(seen.last()).isVoter)
        }
    }

    /** As many disks as the settings tolerate are lost together, at any moment. */
    @Nested
    inner class LostDisks {
        @Test
        fun `three replicas keep what they acknowledged without one`() = runLosses(3, 1)

        @Test
        fun `three replicas keep what they acknowledged without two`() = runLosses(3, 2)

        @Test
        fun `four replicas keep what they acknowledged without two`() = runLosses(4, 2)

        @Test
        fun `four replicas keep what they acknowledged without three`() = runLosses(4, 3)

        @Test
        fun `five replicas keep what they acknowledged without two`() = runLosses(5, 2)

        @Test
        fun `five replicas keep what they acknowledged without three`() = runLosses(5, 3)

        @Test
        fun `six replicas keep what they acknowledged without two`() = runLosses(6, 2)

        private fun runLosses(size: Int, toleratedLosses: Int) = runSeeds(
            size,
            MembershipReconciler(2 * toleratedLosses + 1, UNREACHABLE_LIMIT),
            toleratedLosses,
            seeds.take(LOSS_SEEDS),
        )
    }

    private fun runSeeds(
        size: Int,
        reconciler: MembershipReconciler? = null,
        toleratedLosses: Int = 0,
        seeds: Iterable<Long> = this.seeds,
    ) {
        var acknowledged = 0
        seeds.forEach { seed ->
            val settings = settings(seed).copy(toleratedLosses = toleratedLosses)
            val plan = if (toleratedLosses == 0) plan(seed) else plan(seed).withLostDisks()
            val simulation = Simulation(seed, size, plan, settings, reconciler)
            try {
                simulation.start()
                simulation.run(milliseconds = 25_000)
                simulation.settle()
            } catch (thrown: Exception) {
                throw AssertionError(
                    "size $size, losses $toleratedLosses, -Dconsensus.seed=$seed: $thrown",
                    thrown,
                )
            }
            acknowledged += simulation.checker.acknowledgedIdentifiers.size
        }
        println("size $size, losses $toleratedLosses: $acknowledged acknowledged commands")
        assertTrue(acknowledged > 100 * seeds.count(), "only $acknowledged commands acknowledged")
    }

    private companion object {
        /** 1,000 runs over the four tests. */
        const val DEFAULT_SEEDS = 250L
        val LOSS_SEEDS: Int = Integer.getInteger("consensus.loss.seeds", 50)
        val UNREACHABLE_LIMIT = 2.seconds
        const val DELAYED_STEPS = 25
    }

    private fun plan(seed: Long) = FaultPlan(
        loss = if (seed % 2 == 0L) 0.1 else 0.01,
        duplicates = 0.03,
        longDelays = 0.03,
        crash = if (seed % 3 == 0L) 0.005 else 0.001,
        partition = if (seed % 4 < 2) 0.001 else 0.0003,
        wipe = if (seed % 5 < 3) 0.002 else 0.0,
        removal = if (seed % 5 > 1) 0.002 else 0.0,
    )

    private fun FaultPlan.withLostDisks() = copy(wipe = 0.002, removal = 0.0)

    private fun settings(seed: Long) = ReplicatedLogSettings(
        name = ProcessName("-"),
        bootstrap = emptyList(),
        maximumBatchBytes = if (seed % 2 == 0L) 1 else 500,
        snapshotChunkBytes = 200,
        snapshotEntries = if (seed % 3 == 0L) 1_000_000 else 40,
        trailingEntries = (seed % 4).toInt() * 5,
        promotionLagEntries = 5,
    )
}
