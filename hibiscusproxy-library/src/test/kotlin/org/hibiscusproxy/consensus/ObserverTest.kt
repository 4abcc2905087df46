package org.hibiscusproxy.consensus

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.model.ProcessName
import org.junit.jupiter.api.Nested

/** Guards against a cluster that waits for processes without a disk, or stores entries at them. */
class ObserverTest {
    /** Four bootstrap members, of which the first, with the lowest name, has no disk. */
    private val simulation = Simulation(
        seed = 5,
        size = 4,
        FaultPlan(proposals = 0.1),
        ReplicatedLogSettings(ProcessName("-"), emptyList(), toleratedLosses = 1),
        MembershipReconciler(minimumVoters = 3, 2.seconds),
        observers = setOf(1),
    ).apply { start() }
    private val observer = simulation.replica(1)

    private fun awaitEntries() = simulation.runUntil(10_000, "acknowledged") {
        simulation.checker.newestAcknowledged > 20
    }

    @Nested
    inner class `A process without a disk` {
        @Test
        fun `does not keep the others from creating a cluster, and is no member`() {
            awaitEntries()
            repeat(10) {
                simulation.run(500)
                simulation.restoreVoters()
            }
            val members = checkNotNull(simulation.leader?.log).membership.members.keys
            assertEquals((2..4).map { ProcessName("c$it") }.toSet(), members)
            assertEquals(0, observer.log?.commitIndex)
        }

        @Test
        fun `names the members`() {
            awaitEntries()
            simulation.run(4_000)
            val known = checkNotNull(observer.log).knownMembers
            assertTrue(known.containsAll((2..4).map { ProcessName("c$it") }), "$known")
        }

        @Test
        fun `is no copy when a member loses its disk`() {
            awaitEntries()
            val wiped = simulation.replica(3)
            wiped.wipe()
            simulation.restart(wiped)
            simulation.runUntil(10_000, "replaced") {
                simulation.restoreVoters()
                simulation.leader?.log?.membership?.isVoter(wiped.name, wiped.identity) == true
            }
            assertEquals(3, simulation.leader?.log?.membership?.voters?.size)
        }
    }
}
