package org.hibiscusproxy.daemon.controller

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Nested

/** Guards against retries beyond the limit that all forwarders share. */
class RetryLimitOfFleetTest {
    /** Plays [events] for many seeds, for much and for little traffic. */
    private fun assertKept(events: RetryFleetSimulation.() -> Unit) {
        val broken = SEEDS.flatMap { seed ->
            listOf(20.0, 100.0, 400.0).mapNotNull { rate ->
                val fleet = RetryFleetSimulation(seed, forwarderCount = 8, rate)
                fleet.run(40.seconds)
                fleet.events()
                val excess = fleet.worstExcess()
                "seed $seed, $rate/s: $excess too many".takeIf { excess > 0 }
            }
        }
        assertTrue(broken.isEmpty(), "${broken.size} cases, such as ${broken.take(5)}")
    }

    private fun RetryFleetSimulation.changeLeader() {
        val next = controllers.filter { it.isUp && !it.isLeading }.random(random)
        controllers.forEach { it.isLeading = it === next }
    }

    private fun RetryFleetSimulation.pause() = random.nextInt(200, 2_000).milliseconds

    private fun RetryFleetSimulation.loseAll() {
        controllers.forEach { it.stop() }
        forwarders.forEach { it.restart(pause()) }
        run(pause())
        controllers.forEach { it.isUp = true }
    }

    @Nested
    inner class IsKept {
        @Test
        fun `while targets answer errors`() = assertKept {
            errorShare = 1.0
            run(30.seconds)
        }

        @Test
        fun `when all forwarders are restarted at once`() = assertKept {
            errorShare = 1.0
            run(random.nextInt(0, 8_000).milliseconds)
            forwarders.forEach { it.restart(pause()) }
            run(25.seconds)
        }

        @Test
        fun `when forwarders are restarted in series`() = assertKept {
            errorShare = 1.0
            repeat(40) {
                run(random.nextInt(100, 1_000).milliseconds)
                forwarders.random(random).restart(pause())
            }
            run(15.seconds)
        }

        @Test
        fun `when all processes are lost at once and targets fail meanwhile`() = assertKept {
            errorShare = 1.0
            run(random.nextInt(0, 8_000).milliseconds)
            loseAll()
            run(25.seconds)
        }

        @Test
        fun `when a new leader has heard only some forwarders`() = assertKept {
            errorShare = random.nextDouble()
            repeat(5) {
                forwarders.shuffled(random).take(6).forEach { it.restart(pause()) }
                changeLeader()
                errorShare = 1.0
                run(random.nextInt(1_000, 8_000).milliseconds)
            }
        }

        @Test
        fun `when the leader is lost with its knowledge`() = assertKept {
            errorShare = 1.0
            controllers.first { it.isLeading }.stop()
            changeLeader()
            run(3.seconds)
            controllers.forEach { it.isUp = true }
            forwarders.forEach { it.restart(pause()) }
            run(20.seconds)
        }

        @Test
        fun `when some forwarders reach no controller`() = assertKept {
            forwarders.shuffled(random).take(4).forEach { it.unreachable += controllers }
            run(5.seconds)
            errorShare = 1.0
            run(20.seconds)
            changeLeader()
            run(20.seconds)
        }

        @Test
        fun `when all controllers are lost while some forwarders are cut off`() = assertKept {
            val cutOff = forwarders.shuffled(random).take(4).toSet()
            cutOff.forEach { it.unreachable += controllers }
            run(5.seconds)
            controllers.forEach { it.stop() }
            (forwarders - cutOff).forEach { it.restart(pause()) }
            run(pause())
            controllers.forEach { it.isUp = true }
            run(25.seconds)
            errorShare = 1.0
            run(15.seconds)
        }

        @Test
        fun `when the core is cut and two lead`() = assertKept {
            val half = forwarders.shuffled(random).take(4)
            half.forEach { it.unreachable += controllers.drop(1) }
            (forwarders - half.toSet()).forEach { it.unreachable += controllers.first() }
            controllers[1].isLeading = true
            run(4.seconds)
            errorShare = 1.0
            run(30.seconds)
            forwarders.forEach { it.unreachable.clear() }
            controllers[0].isLeading = false
            run(15.seconds)
        }

        @Test
        fun `when forwarders are added`() = assertKept {
            errorShare = 1.0
            repeat(8) {
                forwarders += Forwarder(forwarders.size)
                run(random.nextInt(0, 2_000).milliseconds)
            }
            run(20.seconds)
        }

        @Test
        fun `when forwarders are removed`() = assertKept {
            errorShare = 1.0
            run(random.nextInt(0, 8_000).milliseconds)
            repeat(6) { forwarders.removeLast().restart(pause()) }
            run(25.seconds)
        }

        @Test
        fun `through any series of these events`() = assertKept {
            repeat(12) {
                errorShare = if (random.nextInt(3) == 0) random.nextDouble() else 1.0
                when (random.nextInt(6)) {
                    0 -> forwarders.forEach { it.restart(pause()) }
                    1 -> forwarders.shuffled(random).take(3).forEach { it.restart(pause()) }
                    2 -> changeLeader()
                    3 -> loseAll()
                    4 -> forwarders.random(random).unreachable += controllers
                    else -> forwarders.forEach { it.unreachable.clear() }
                }
                run(random.nextInt(500, 9_000).milliseconds)
            }
        }
    }

    private companion object {
        val SEEDS = 1..30
    }
}
