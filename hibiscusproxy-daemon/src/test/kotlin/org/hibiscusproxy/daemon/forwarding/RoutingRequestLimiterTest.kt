package org.hibiscusproxy.daemon.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Guards against a change that every controller sends to every entry. */
class RoutingRequestLimiterTest {
    private val time = TestTimeSource()
    private val limiter = RoutingRequestLimiter(time)

    private fun mayRequest(announced: Long, known: Long, newLeader: Boolean = false) =
        limiter.mayRequest(announced, known, newLeader)

    @Test
    fun `one change that five controllers announce is requested from none of them`() {
        repeat(5) { assertFalse(mayRequest(announced = 8, known = 7)) }
        time += 100.milliseconds
        repeat(5) { assertFalse(mayRequest(announced = 8, known = 8)) }
    }

    @Test
    fun `a change that does not arrive is requested from one controller`() {
        val requests = (1..4).sumOf {
            val count = (1..5).count { mayRequest(announced = 8, known = 7) }
            time += 300.milliseconds
            count
        }
        assertEquals(1, requests)
    }

    @Test
    fun `an announcement of an older revision does not delay a request`() {
        assertFalse(mayRequest(announced = 8, known = 7))
        time += 600.milliseconds
        assertFalse(mayRequest(announced = 6, known = 7))
        assertTrue(mayRequest(announced = 8, known = 7))
    }

    @Test
    fun `what a new leader announces is requested at once`() {
        assertTrue(mayRequest(announced = 8, known = 7, newLeader = true))
        assertFalse(mayRequest(announced = 8, known = 7))
    }

    @Test
    fun `the first routing is requested from every controller`() {
        repeat(3) { assertTrue(mayRequest(announced = 8, known = 0)) }
    }
}
