package org.hibiscusproxy.consensus

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.model.ProcessName
import org.junit.jupiter.api.Nested

/** Guards against a cluster that ends for good when as many disks are lost as it has to bear. */
class LostDisksTest {
    private fun simulation(size: Int, toleratedLosses: Int) = Simulation(
        seed = 3,
        size,
        FaultPlan(proposals = 0.1, wipe = Double.MIN_VALUE),
        ReplicatedLogSettings(
            ProcessName("-"),
            emptyList(),
            toleratedLosses = toleratedLosses,
        ),
        MembershipReconciler(2 * toleratedLosses + 1, 2.seconds),
    ).apply {
        start()
        runUntil(10_000, "acknowledged") { checker.newestAcknowledged > 20 }
    }

    private fun Simulation.lose(numbers: List<Int>) {
        numbers.forEach { replica(it).wipe() }
        run(800)
        numbers.forEach { restart(replica(it)) }
    }

    @Nested
    inner class `Acknowledged entries` {
        @Test
        fun `survive any two of three disks`() {
            listOf(listOf(1, 2), listOf(1, 3), listOf(2, 3)).forEach { lost ->
                val simulation = simulation(size = 3, toleratedLosses = 2)
                simulation.lose(lost)
                simulation.settle()
            }
        }

        @Test
        fun `survive the loss of one disk and then another before the first is replaced`() {
            val simulation = simulation(size = 3, toleratedLosses = 2)
            simulation.replica(1).wipe()
            simulation.run(700)
            simulation.lose(listOf(2))
            simulation.restart(simulation.replica(1))
            simulation.settle()
        }

        @Test
        fun `survive three of four disks`() {
            val simulation = simulation(size = 4, toleratedLosses = 3)
            simulation.lose(listOf(1, 2, 4))
            simulation.settle()
        }
    }

    @Nested
    inner class `Three voters that bear two losses` {
        @Test
        fun `acknowledge nothing while one of them is away`() {
            val simulation = simulation(size = 3, toleratedLosses = 2)
            val away = simulation.replicas.values.first { it != simulation.leader }
            simulation.isolate(setOf(away.name))
            simulation.run(500)
            val before = simulation.checker.newestAcknowledged
            simulation.run(5_000)
            assertEquals(before, simulation.checker.newestAcknowledged)

            simulation.network.blocked.clear()
            simulation.runUntil(5_000, "acknowledged again") {
                simulation.checker.newestAcknowledged > before
            }
        }
    }

    @Nested
    inner class `Five voters that bear two losses` {
        @Test
        fun `acknowledge while two of them are away`() {
            val simulation = simulation(size = 5, toleratedLosses = 2)
            val away = simulation.replicas.values.filter { it != simulation.leader }.take(2)
            simulation.isolate(away.map { it.name }.toSet())
            simulation.run(500)
            val before = simulation.checker.newestAcknowledged
            simulation.run(2_000)
            assertTrue(simulation.checker.newestAcknowledged > before)
        }
    }
}
