package org.hibiscusproxy.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.model.ServiceName
import org.junit.jupiter.api.Nested

/** Guards against retries beyond the limit, and against a limit that allows none. */
class RetryLimiterTest {
    private val time = TestTimeSource()
    private val limiter = RetryLimiter(ratio = 0.2, slack = 60.0, window = 10.seconds, time)
    private val orders = ServiceName("orders")

    private fun takeAll(forwarders: Int?) =
        generateSequence { limiter.tryTake(orders, forwarders) }.takeWhile { it }.count()

    @Nested
    inner class Process {
        @Test
        fun `starts without retries`() = assertEquals(0, takeAll(forwarders = 1))

        @Test
        fun `earns retries by requests before it knows the number of forwarders`() {
            var taken = 0
            repeat(1_000) {
                limiter.recordRequest(orders)
                taken += takeAll(forwarders = null)
                time += 10.milliseconds
            }
            assertTrue(taken in 130..140, "$taken retries")
        }

        @Test
        fun `earns its part of the slack by time`() {
            time += 10.seconds
            assertEquals(4, takeAll(forwarders = 4))
            time += 5.seconds
            assertEquals(2, takeAll(forwarders = 4))
        }

        @Test
        fun `keeps unused retries up to a part of the limit`() {
            repeat(1_000) { limiter.recordRequest(orders) }
            time += 9.seconds
            assertEquals(40 + 9, takeAll(forwarders = 4))
            time += 60.seconds
            assertEquals(9, takeAll(forwarders = 4))
        }
    }
}
