package org.hibiscusproxy.daemon.controller

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Nested

/** More seeds: `-Dcontrollers.seeds=500`. */
class ControllerLossTest {
    private val seeds = 1..Integer.getInteger("controllers.seeds", 60)

    @Nested
    inner class `The configuration` {
        @Test
        fun `can be read after a replaced controller and then a wiped one`() {
            val simulation = ControllerLossSimulation(1)
            simulation.run(5.seconds)
            val replacement = simulation.replace(simulation.anyRunning())
            simulation.run(4.seconds)
            simulation.wipe(replacement, 2.seconds)
            simulation.losePower(1.seconds)
            assertTrue(simulation.canBeRead(RECOVERY_TIME))
        }

        @Test
        fun `can be read and is in force after losses of one controller at a time`() {
            val unread = seeds.filterNot { seed ->
                val simulation = ControllerLossSimulation(seed)
                simulation.run(5.seconds)
                repeat(FAULTS) { simulation.disturb() }
                simulation.isPublishing = false
                simulation.canBeRead(RECOVERY_TIME) && simulation.allEntriesServeAcknowledged()
            }
            assertEquals(emptyList(), unread, "seeds")
        }
    }

    private companion object {
        const val FAULTS = 6
        val RECOVERY_TIME = 12.seconds
    }
}
