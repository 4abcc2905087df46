package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.ListTimes
import org.hibiscusproxy.protocol.TargetList
import org.junit.jupiter.api.Nested

/**
 * Controllers with clocks of their own whose reads take up to 15 s and whose messages are delayed by
 * up to 12 s, in the order of their connection. No list may replace one that was read later.
 */
class TargetListOrderSimulationTest {
    private class Message(val readAt: Duration, val arrivesAt: Duration, val times: ListTimes)

    private class Simulation(seed: Int) {
        private val time = TestTimeSource()
        private val random = Random(seed)
        private val order = TargetListOrder(time)
        private val controllers = List(3, ::Controller)
        private var now = Duration.ZERO
        private var readAtInUse = Duration.ZERO
        private var longestSilence = Duration.ZERO
        private var usedAt = Duration.ZERO

        private inner class Controller(number: Int) {
            private val clock = ControllerClock(ProcessName("c$number"), Incarnation(1), time)
            private val offset = random.nextInt(-1_000_000, 1_000_000).milliseconds
            private val speed = 1 + random.nextDouble(-CLOCK_ERROR, CLOCK_ERROR)
            private val way = random.nextInt(1, 60).milliseconds
            private val underWay = ArrayDeque<Message>()
            private var readAt = random.nextInt(1_000).milliseconds
            private var readUntil = readAt + readDuration()
            private var lastArrival = Duration.ZERO

            private fun readDuration(): Duration = when (random.nextInt(20)) {
                0 -> random.nextInt(15_000)
                1, 2 -> random.nextInt(1_000)
                else -> random.nextInt(2, 30)
            }.milliseconds

            fun advance() {
                if (readUntil <= now) {
                    send()
                    readAt = now + 1.seconds
                    readUntil = readAt + readDuration()
                }
                while (underWay.firstOrNull()?.let { it.arrivesAt <= now } == true) {
                    receive(underWay.removeFirst())
                }
            }

            private fun send() {
                val isFirst = lastArrival == Duration.ZERO
                val delay = when {
                    isFirst -> 0
                    random.nextInt(15) == 0 -> random.nextInt(12_000)
                    else -> random.nextInt(300)
                }
                lastArrival = maxOf(lastArrival, now + way + delay.milliseconds)
                underWay += Message(readAt, lastArrival, ListTimes(reading(readAt), reading(now)))
            }

            private fun reading(moment: Duration) = (moment * speed + offset).inWholeMilliseconds

            private fun receive(message: Message) {
                val list = TargetList(emptyList(), times = message.times)
                if (order.place(list, clock) !is ListPlacement.Newer) return
                assertTrue(
                    message.readAt >= readAtInUse,
                    "a list read at ${message.readAt} replaced one that was read at $readAtInUse",
                )
                readAtInUse = message.readAt
                longestSilence = maxOf(longestSilence, now - usedAt)
                usedAt = now
            }
        }

        fun run() {
            while (now < LENGTH) {
                controllers.forEach { it.advance() }
                time += STEP
                now += STEP
            }
            assertTrue(usedAt > LENGTH - LONGEST_SILENCE, "no list was used since $usedAt")
            assertTrue(longestSilence < LONGEST_SILENCE, "no list was used for $longestSilence")
        }
    }

    @Nested
    inner class Lists {
        @Test
        fun `are used in the order of their reads`() = repeat(SEEDS) { seed ->
            try {
                Simulation(seed).run()
            } catch (failure: AssertionError) {
                throw AssertionError("seed $seed: ${failure.message}", failure)
            }
        }
    }

    private companion object {
        const val SEEDS = 50
        val LENGTH = 600.seconds
        val STEP = 5.milliseconds

        /** Several times as much as the error of the clocks of computers. */
        const val CLOCK_ERROR = 0.0003

        /** The longest read or delay of all three controllers. */
        val LONGEST_SILENCE = 15.seconds
    }
}
