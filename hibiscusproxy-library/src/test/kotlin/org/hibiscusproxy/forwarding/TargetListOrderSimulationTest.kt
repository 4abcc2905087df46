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
 * up to 12 s, in the order of their connection. No list may replace one that was read later, except
 * by the time that the fastest recent message took more than the error that is allowed for.
 */
class TargetListOrderSimulationTest {
    private class Message(
        val readAt: Duration,
        val sentAt: Duration,
        val arrivesAt: Duration,
        val times: ListTimes,
    )

    private class Simulation(seed: Int) {
        private val time = TestTimeSource()
        private val random = Random(seed)
        private val order = TargetListOrder(time)
        private val controllers = List(3, ::Controller)
        private var now = Duration.ZERO
        private var readAtInUse = Duration.ZERO
        private var longestSilence = Duration.ZERO
        private var usedAt = Duration.ZERO
        private var outOfOrder = 0
        private var used = 0

        private inner class Controller(number: Int) {
            private val clock = ControllerClock(ProcessName("c$number"), Incarnation(1), time)
            private val offset = random.nextInt(-1_000_000, 1_000_000).milliseconds
            private val speed = 1 + random.nextDouble(-CLOCK_ERROR, CLOCK_ERROR)
            private val way = random.nextInt(1, 60).milliseconds
            private val underWay = ArrayDeque<Message>()
            private var readAt = random.nextInt(1_000).milliseconds
            private var readUntil = readAt + readDuration()
            private var lastArrival = Duration.ZERO
            private val received = ArrayDeque<Message>()

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
                    random.nextInt(5) == 0 -> random.nextInt(300)
                    else -> random.nextInt(10)
                }
                lastArrival = maxOf(lastArrival, now + way + delay.milliseconds)
                val times = ListTimes(reading(readAt), reading(now))
                underWay += Message(readAt, now, lastArrival, times)
            }

            private fun reading(moment: Duration) = (moment * speed + offset).inWholeMilliseconds

            /** By how much later the estimate may be than [TargetListOrder.COMPARISON_ERROR]. */
            private fun excess(message: Message): Duration {
                received += message
                while (received.first().sentAt < message.sentAt - SURE_WINDOW) {
                    received.removeFirst()
                }
                val fastest = received.minOf { it.arrivesAt - it.sentAt }
                val error = fastest + ControllerClock.WINDOW * CLOCK_ERROR + ROUNDING
                return maxOf(error - TargetListOrder.COMPARISON_ERROR, Duration.ZERO)
            }

            private fun receive(message: Message) {
                val excess = excess(message)
                val list = TargetList(emptyList(), times = message.times)
                if (order.place(list, clock) !is ListPlacement.Newer) return
                assertTrue(
                    message.readAt >= readAtInUse - excess,
                    "a list read at ${message.readAt} replaced one that was read at $readAtInUse",
                )
                if (message.readAt < readAtInUse) outOfOrder += 1
                used += 1
                readAtInUse = message.readAt
                longestSilence = maxOf(longestSilence, now - usedAt)
                usedAt = now
            }
        }

        /** Returns how many lists replaced one that was read later. */
        fun run(): Int {
            while (now < LENGTH) {
                controllers.forEach { it.advance() }
                time += STEP
                now += STEP
            }
            assertTrue(usedAt > LENGTH - LONGEST_SILENCE, "no list was used since $usedAt")
            assertTrue(longestSilence < LONGEST_SILENCE, "no list was used for $longestSilence")
            val meanInterval = LENGTH / used
            assertTrue(meanInterval < LONGEST_MEAN_INTERVAL, "a list was used every $meanInterval")
            return outOfOrder
        }
    }

    @Nested
    inner class Lists {
        @Test
        fun `are used in the order of their reads`() {
            var outOfOrder = 0
            repeat(SEEDS) { seed ->
                try {
                    outOfOrder += Simulation(seed).run()
                } catch (failure: AssertionError) {
                    throw AssertionError("seed $seed: ${failure.message}", failure)
                }
            }
            println("lists out of order within the error: $outOfOrder")
        }
    }

    private companion object {
        const val SEEDS = 200
        val LENGTH = 600.seconds
        val STEP = 5.milliseconds

        /** Several times as much as the error of the clocks of computers. */
        const val CLOCK_ERROR = 0.0003

        /** Part of the window on the controllers' clocks that is in it on the true clock too. */
        val SURE_WINDOW = ControllerClock.WINDOW * (1 - 2 * CLOCK_ERROR)

        /** Times are sent in milliseconds, and lists arrive at steps. */
        val ROUNDING = 10.milliseconds

        /** The pause, the longest read and the longest delay, if they coincide everywhere. */
        val LONGEST_SILENCE = 1.seconds + 15.seconds + 12.seconds + 500.milliseconds

        /** Two of three lists may be delayed at any time. */
        val LONGEST_MEAN_INTERVAL = 2.seconds
    }
}
