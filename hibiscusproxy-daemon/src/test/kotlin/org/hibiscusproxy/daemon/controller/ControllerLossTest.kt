package org.hibiscusproxy.daemon.controller

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
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
            val repairTimes = ArrayList<Duration>()
            val unread = seeds.mapNotNull { seed ->
                val simulation = ControllerLossSimulation(seed)
                simulation.run(5.seconds)
                repeat(FAULTS) { simulation.disturb() }
                simulation.isPublishing = false
                repairTimes += simulation.repairTimes
                val isRead = simulation.canBeRead(RECOVERY_TIME)
                val isInForce = simulation.allEntriesServeAcknowledged()
                val isSound = isRead && isInForce && simulation.unrepaired.isEmpty()
                "seed $seed: $isRead $isInForce ${simulation.unrepaired} $simulation"
                    .takeUnless { isSound }
            }
            val sorted = repairTimes.sorted()
            println("repairs: ${sorted.size}, p50 ${sorted[sorted.size / 2]}, max ${sorted.last()}")
            assertEquals("", unread.joinToString("\n"))
        }
    }

    /** Guards against changes that are refused to the end once all disks were full in turn. */
    @Nested
    inner class `Changes after full disks` {
        @Test
        fun `are acknowledged once all of them have room again`() {
            val failed = seeds.mapNotNull { seed ->
                val simulation = ControllerLossSimulation(seed)
                simulation.run(5.seconds)
                val length = simulation.random.nextInt(100, 8_000).milliseconds
                val pause = simulation.random.nextInt(0, 5_000).milliseconds
                simulation.fillDisksInTurn(length, pause)
                val isAcknowledged = simulation.acknowledgesWithin(ACKNOWLEDGEMENT_TIME)
                simulation.isPublishing = false
                val isRead = simulation.canBeRead(RECOVERY_TIME)
                "seed $seed: $isAcknowledged $isRead $simulation"
                    .takeUnless { isAcknowledged && isRead }
            }
            assertEquals("", failed.joinToString("\n"))
        }
    }

    private companion object {
        const val FAULTS = 6
        val RECOVERY_TIME = 12.seconds

        /** `ack-ms` of the users' deployments. */
        val ACKNOWLEDGEMENT_TIME = 4.seconds
    }
}
