package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.junit.jupiter.api.Nested

/** Guards against placement by a load or a speed that a target no longer has. */
class TargetLoadTest {
    private val time = TestTimeSource()
    private val load = TargetLoad()

    private fun state(running: Int, slowness: Double?) =
        LoadStatement.Known(running, waiting = 0, slots = 6, slowness)

    @Nested
    inner class Count {
        @Test
        fun `is that of the reports without a stated slowness`() {
            load.record(state(9, slowness = null), time.markNow(), ownRunning = 2)
            assertEquals(5, load.present(2, 3, time.markNow()))
        }

        @Test
        fun `includes the requests of others that a fresh statement includes`() {
            load.record(state(9, slowness = 1.0), time.markNow(), ownRunning = 2)
            assertEquals(9, load.present(2, 0, time.markNow()))
            assertEquals(11, load.present(4, 0, time.markNow()), "two requests began since")
        }

        @Test
        fun `is that of the reports when the statement is old`() {
            load.record(state(9, slowness = 1.0), time.markNow(), ownRunning = 2)
            time += 5.seconds
            assertEquals(5, load.present(2, 3, time.markNow()))
        }

        @Test
        fun `is never below what this forwarder has in progress`() {
            load.record(state(0, slowness = 1.0), time.markNow(), ownRunning = 7)
            assertEquals(7, load.present(7, 0, time.markNow()))
        }
    }

    @Nested
    inner class Slowness {
        @Test
        fun `is the stated one at first and fades to the learned one`() {
            load.record(state(1, slowness = 2.5), time.markNow(), ownRunning = 1)
            assertEquals(2.5, load.slowness(1.0, time.markNow()))
            time += 200.milliseconds
            assertTrue(load.slowness(1.0, time.markNow()) in 1.5..2.5)
            time += 3.seconds
            assertEquals(1.3, load.slowness(1.3, time.markNow()), 0.02)
        }

        @Test
        fun `ignores an older statement of another forwarder`() {
            load.record(state(1, slowness = 2.5), time.markNow(), ownRunning = 1)
            val older = time.markNow() - 300.milliseconds
            assertFalse(load.record(state(1, slowness = 1.0), older, ownRunning = 1))
            assertEquals(2.5, load.slowness(1.0, time.markNow()))
        }
    }

    /** Guards against uneven placement by chance, and against a slow target that goes unnoticed. */
    @Nested
    inner class LearnedFactor {
        private fun learn(vararg factors: Double, answers: Int, seed: Int): List<LearnedSpeed> {
            val random = Random(seed)
            val speeds = factors.map { LearnedSpeed() }
            repeat(answers) {
                speeds.forEachIndexed { index, speed ->
                    speed.record(factors[index] * (0.6 + 0.8 * random.nextDouble()))
                }
                speeds.forEach { it.update(speeds) }
            }
            return speeds
        }

        @Test
        fun `stays 1 for targets of the same speed`() {
            for (seed in 1..200) {
                val speeds = learn(1.0, 1.0, 1.0, answers = 400, seed = seed)
                assertEquals(listOf(1.0, 1.0, 1.0), speeds.map { it.factor }, "seed $seed")
            }
        }

        @Test
        fun `finds the one of three targets that is slower by 1,3`() {
            for (seed in 1..200) {
                val factor = learn(1.0, 1.3, 1.0, answers = 200, seed = seed)[1].factor
                assertTrue(factor in 1.15..1.45, "seed $seed: $factor")
            }
        }

        @Test
        fun `needs some answers`() {
            assertEquals(1.0, learn(1.0, 3.0, answers = 20, seed = 1)[1].factor)
        }
    }
}
