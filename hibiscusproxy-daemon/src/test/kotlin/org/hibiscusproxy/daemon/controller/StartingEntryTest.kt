package org.hibiscusproxy.daemon.controller

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Nested

/** More seeds: `-Dcontrollers.seeds=500`. */
class StartingEntryTest {
    private val seeds = 1..Integer.getInteger("controllers.seeds", 60)

    @Nested
    inner class `A started entry` {
        @Test
        fun `does not serve with a version older than one acknowledged before its start`() {
            val reverted = seeds.associateWith { seed ->
                val simulation = ControllerLossSimulation(seed)
                simulation.run(5.seconds)
                repeat(FAULTS) { simulation.disturb() }
                simulation.reverted
            }
            assertEquals(emptyMap(), reverted.filterValues { it.isNotEmpty() })
        }

        @Test
        fun `does not serve with what a controller has that missed changes`() {
            val simulation = ControllerLossSimulation(1)
            simulation.run(5.seconds)
            simulation.leaveOnlyOneBehind(missed = 2.seconds, away = 4.seconds)
            assertEquals(emptyList(), simulation.reverted)
        }
    }

    private companion object {
        const val FAULTS = 6
    }
}
