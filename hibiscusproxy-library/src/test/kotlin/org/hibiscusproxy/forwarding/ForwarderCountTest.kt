package org.hibiscusproxy.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
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
                time += 1.minutes
            }
            time += 2.minutes - 1.seconds
            assertEquals(8, count.largest)
            time += 1.seconds
            assertEquals(3, count.largest)
            time += 2.minutes
            assertEquals(1, count.largest)
        }

        @Test
        fun `stays while no leader is heard`() {
            count.record(8)
            time += 60.minutes
            assertEquals(8, count.largest)
        }
    }
}
