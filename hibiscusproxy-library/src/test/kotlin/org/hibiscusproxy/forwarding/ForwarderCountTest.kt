package org.hibiscusproxy.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.junit.jupiter.api.Nested

/** Guards against shares of a limit that add up to more than the limit. */
class ForwarderCountTest {
    private val time = TestTimeSource()
    private val count = ForwarderCount(time)

    @Nested
    inner class Count {
        @Test
        fun `is unknown until a leader tells one that it knows`() {
            assertEquals(null, count.largest)
            count.record(0)
            assertEquals(null, count.largest)
            count.record(4)
            count.record(0)
            assertEquals(4, count.largest)
        }

        @Test
        fun `grows at once and falls after five minutes`() {
            listOf(2, 8, 1, 3, 1).forEach {
                count.record(it)
                assertEquals(if (it == 2) 2 else 8, count.largest)
                pass(1.minutes, reported = it)
            }
            pass(2.minutes - 1.seconds, reported = 1)
            assertEquals(8, count.largest)
            pass(1.seconds, reported = 1)
            assertEquals(3, count.largest)
            pass(2.minutes, reported = 1)
            assertEquals(1, count.largest)
        }

        @Test
        fun `is unknown while no leader is heard`() {
            count.record(8)
            time += 10.seconds
            assertEquals(8, count.largest)
            time += 1.milliseconds
            assertEquals(null, count.largest)
            count.record(0)
            assertEquals(null, count.largest)
            count.record(4)
            assertEquals(8, count.largest)
        }

        /** Lets [duration] pass, while a leader reports the count [reported] every second. */
        private fun pass(duration: Duration, reported: Int) =
            repeat(duration.inWholeSeconds.toInt()) {
                time += 1.seconds
                count.record(reported)
            }
    }
}
