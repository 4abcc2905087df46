package org.hibiscusproxy.consensus

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.hibiscusproxy.model.ProcessName
import org.junit.jupiter.api.Nested

/** Guards against faults that require a particular sequence of events, one scenario each. */
class ReplicatedLogTest {
    private val settings = ReplicatedLogSettings(ProcessName("-"), emptyList())

    private fun simulation(
        size: Int = 3,
        proposals: Double = 0.1,
        settings: ReplicatedLogSettings = this.settings,
    ) = Simulation(7, size, FaultPlan(proposals = proposals), settings).apply { start() }

    private fun Simulation.runUntilReady() = runUntil(5_000, "a leader is ready") {
        leader?.log?.isReady == true
    }

    private fun Simulation.followers() = replicas.values.filter { it != leader }

    @Nested
    inner class Forming {
        @Test
        fun `waits until every bootstrap member has told its identity`() {
            val simulation = simulation()
            simulation.replica(3).crash()
            simulation.replica(3).restartAt = 10_000
            simulation.run(9_000)
            assertTrue(
                simulation.replicas.values.all {
                    it.log?.membership?.voters.isNullOrEmpty()
                },
            )

            simulation.run(1_100)
            simulation.runUntilReady()
            assertEquals(3, assertNotNull(simulation.leader?.log).membership.voters.size)
        }

        @Test
        fun `a wiped voter and one that never heard of the cluster do not found another`() {
            val simulation = simulation()
            val (creator, second, third) = (1..3).map(simulation::replica)
            simulation.runUntil(5_000, "created") { creator.log?.membership != Membership.EMPTY }
            simulation.isolate(setOf(third.name))
            simulation.runUntil(9_000, "acknowledged") {
                simulation.checker.newestAcknowledged > 9
            }
            assertEquals(Membership.EMPTY, third.log?.membership)

            loseSecondVoterAfterWipe(simulation, wiped = creator, lost = second)
        }

        private fun loseSecondVoterAfterWipe(
            simulation: Simulation,
            wiped: SimulatedReplica,
            lost: SimulatedReplica,
        ) {
            val before = simulation.checker.newestAcknowledged
            wiped.wipe()
            simulation.restart(wiped)
            lost.crash()
            lost.restartAt = simulation.now + 20_000
            simulation.network.blocked.clear()
            simulation.run(19_000)
            assertNull(simulation.leader, "a replica leads without the acknowledged commands")
            assertEquals(before, simulation.checker.newestAcknowledged)

            simulation.settle()
        }

        @Test
        fun `nothing is missing after a wipe of one voter and the loss of a second one`() {
            val simulation = simulation()
            simulation.runUntilReady()
            val (lagging, wiped) = simulation.followers()
            val leader = assertNotNull(simulation.leader)
            simulation.isolate(setOf(lagging.name))
            simulation.run(2_000)

            loseSecondVoterAfterWipe(simulation, wiped, lost = leader)
        }

        @Test
        fun `wipes while the cluster forms lead to at most one leader with a majority`() {
            (1L..60L).forEach { seed ->
                val plan = FaultPlan(loss = 0.2, longDelays = 0.3)
                val simulation = Simulation(seed, 3, plan).apply { start() }
                simulation.run(milliseconds = seed * 10)
                val wiped = simulation.replica(1 + (seed % 3).toInt())
                wiped.wipe()
                simulation.run(milliseconds = 15_000)
                simulation.checker.checkResults()
            }
        }
    }

    @Nested
    inner class Elections {
        @Test
        fun `a lost leader is replaced within three seconds`() {
            val times = (1L..20L).map { seed ->
                val simulation = Simulation(seed, 5).apply { start() }
                simulation.runUntilReady()
                val lost = assertNotNull(simulation.leader)
                lost.crash()
                lost.restartAt = Long.MAX_VALUE
                val lostAt = simulation.now
                simulation.runUntil(3_000, "new leader") { simulation.leader?.log?.isReady == true }
                simulation.now - lostAt
            }
            println("time to a new leader in ms: ${times.sorted()}")
        }

        @Test
        fun `a replica that returns from a partition deposes nobody`() {
            val simulation = simulation()
            simulation.runUntilReady()
            val leader = assertNotNull(simulation.leader)
            val term = leader.log?.term
            simulation.isolate(setOf(simulation.followers().first().name))
            simulation.run(10_000)
            simulation.network.blocked.clear()
            simulation.run(5_000)

            assertEquals(leader, simulation.leader)
            assertEquals(term, simulation.leader?.log?.term)
        }

        @Test
        fun `a leader without a majority steps down after an election timeout`() {
            val simulation = simulation(size = 5)
            simulation.runUntilReady()
            val leader = assertNotNull(simulation.leader)
            simulation.isolate(setOf(leader.name, simulation.followers().first().name))
            simulation.run(700)

            assertEquals(ConsensusRole.FOLLOWER, leader.log?.role)
            assertNull(leader.log?.majorityContact)
        }
    }

    @Nested
    inner class LargeEntries {
        private val rate = 12_500L

        private fun commitUnderOneLeader(size: Int, slowDown: SimulatedNetwork.() -> Unit) {
            val simulation = simulation(size = 5, proposals = 0.0)
            simulation.runUntilReady()
            val leader = assertNotNull(simulation.leader)
            val term = leader.log?.term
            simulation.network.slowDown()
            repeat(5) {
                val index = assertNotNull(simulation.propose(leader, size))
                simulation.runUntil(5_000, "the entry is committed") {
                    simulation.checker.newestAcknowledged >= index
                }
            }
            simulation.run(1_000)
            assertEquals(leader, simulation.leader)
            assertEquals(term, simulation.leader?.log?.term)
        }

        @Test
        fun `do not depose a leader on a slow link`() {
            commitUnderOneLeader(1_000_000) { transmitRate = rate }
        }

        @Test
        fun `do not depose a leader of slow followers`() {
            commitUnderOneLeader(1_000_000) { handlingRate = rate / 4 }
        }
    }

    @Nested
    inner class MembershipChanges {
        @Test
        fun `a non-voter is promoted only after it has caught up`() {
            val simulation = simulation()
            simulation.runUntilReady()
            val wiped = simulation.followers().first()
            wiped.wipe()
            simulation.run(3_000)
            assertEquals(
                MembershipRefusal.NAME_IN_USE,
                simulation.refusalOf(MembershipChange.AddNonVoter(wiped.name, wiped.identity)),
            )
            simulation.change(MembershipChange.Remove(wiped.name))
            assertEquals(
                MembershipRefusal.CHANGE_PENDING,
                simulation.refusalOf(MembershipChange.Remove(wiped.name)),
            )
            simulation.run(500)
            val unknownIdentities = assertNotNull(simulation.leader?.log).unknownIdentities
            assertEquals(mapOf(wiped.name to wiped.identity), unknownIdentities)

            simulation.isolate(setOf(wiped.name))
            simulation.change(MembershipChange.AddNonVoter(wiped.name, wiped.identity))
            simulation.run(500)
            val promotion = MembershipChange.Promote(wiped.name)
            assertEquals(MembershipRefusal.NOT_CAUGHT_UP, simulation.refusalOf(promotion))
            simulation.network.blocked.clear()
            simulation.run(1_000)
            assertEquals(ConsensusRole.NON_VOTER, wiped.log?.role)
            assertNull(simulation.refusalOf(promotion))
            simulation.change(promotion)
            simulation.run(500)
            assertEquals(ConsensusRole.FOLLOWER, wiped.log?.role)
        }

        @Test
        fun `a voter is not removed while the rest has no majority`() {
            val simulation = simulation()
            simulation.runUntilReady()
            val (unreachable, healthy) = simulation.followers()
            unreachable.wipe()
            unreachable.restartAt = Long.MAX_VALUE
            simulation.run(700)

            assertEquals(
                MembershipRefusal.MAJORITY_SILENT,
                simulation.refusalOf(MembershipChange.Remove(healthy.name)),
            )
            assertNull(simulation.refusalOf(MembershipChange.Remove(unreachable.name)))
        }

        @Test
        fun `a leader that removes itself leaves office after the commit`() {
            val simulation = simulation()
            simulation.runUntilReady()
            val removed = assertNotNull(simulation.leader)
            simulation.change(MembershipChange.Remove(removed.name))
            simulation.run(5_000)

            assertEquals(ConsensusRole.NON_VOTER, removed.log?.role)
            assertEquals(2, assertNotNull(simulation.leader?.log).membership.voters.size)
        }
    }

    @Nested
    inner class Snapshots {
        @Test
        fun `a replica behind the truncated log receives a snapshot in bounded chunks`() {
            val small = settings.copy(
                snapshotEntries = 50,
                trailingEntries = 0,
                snapshotChunkBytes = 100,
                maximumBatchBytes = 100,
            )
            val simulation = simulation(proposals = 0.5, settings = small)
            simulation.runUntilReady()
            val behind = simulation.followers().first()
            simulation.isolate(setOf(behind.name))
            simulation.run(10_000)
            val applied = assertNotNull(behind.log).appliedIndex
            simulation.network.largestMessage = 0
            simulation.settle()

            assertTrue(assertNotNull(behind.log).appliedIndex > applied + 100)
            val largest = simulation.network.largestMessage
            assertTrue(largest in 100..160, "largest message: $largest bytes")
        }
    }

    @Nested
    inner class Restarting {
        @Test
        fun `a replica applies what it knew to be committed before it hears another one`() {
            val simulation = simulation()
            simulation.runUntilReady()
            simulation.run(2_000)
            val replica = simulation.followers().first()
            val known = assertNotNull(replica.log).appliedIndex
            assertTrue(known > 10, "applied: $known")
            simulation.run(settings.heartbeatInterval.inWholeMilliseconds * 2)
            val committed = simulation.replicas.values.maxOf { assertNotNull(it.log).commitIndex }

            simulation.replicas.values.forEach {
                it.crash()
                it.restartAt = Long.MAX_VALUE
            }
            simulation.run(1)
            simulation.restart(replica)
            simulation.run(50)

            assertTrue(assertNotNull(replica.log).appliedIndex in known..committed)
        }
    }

    @Nested
    inner class Traffic {
        @Test
        fun `five idle replicas send and receive less than three kilobytes a second each`() {
            val simulation = simulation(size = 5, proposals = 0.0)
            simulation.runUntilReady()
            simulation.run(1_000)
            val network = simulation.network
            val before = network.traffic.toMap()
            simulation.run(10_000)
            val busiest = simulation.replicas.keys.maxOf { name ->
                (network.traffic.getValue(name) - before.getValue(name)) / 10
            }

            println("idle traffic of the leader, both directions: $busiest bytes/s")
            assertTrue(busiest < 2_700, "$busiest bytes/s")
        }
    }
}
