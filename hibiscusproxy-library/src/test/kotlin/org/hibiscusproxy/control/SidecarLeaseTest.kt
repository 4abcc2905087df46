package org.hibiscusproxy.control

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.OperationalState.IN
import org.hibiscusproxy.model.OperationalState.OUT
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.LeaseRequest
import org.hibiscusproxy.protocol.LoadReport
import org.hibiscusproxy.protocol.PoolLoad
import org.junit.jupiter.api.Nested

/** Guards against a sidecar that admits work after its lease has expired or under an old state. */
class SidecarLeaseTest {
    private val time = TestTimeSource()
    private val target = TargetName("t1")
    private val lease = SidecarLease(target, Incarnation(1))

    private fun request(): LeaseRequest = lease.request(LoadReport(), time.markNow())

    private fun answer(
        request: LeaseRequest,
        version: Long,
        state: OperationalState = IN,
    ): LeaseReceipt =
        lease.receive(LeaseGrant(request.number, target, version, state, 1, 3_000, PoolLoad(0, 0)))

    private fun admits() = lease.admits(time.markNow())

    @Nested
    inner class Validity {
        @Test
        fun `counts from the sending of the request`() {
            val request = request()
            time += 1.seconds
            answer(request, version = 1)
            time += 1_999.milliseconds
            assertTrue(admits())
            time += 1.milliseconds

            assertFalse(admits())
        }

        @Test
        fun `is not shortened by answers that arrive out of order`() {
            val early = request()
            time += 1.seconds
            val late = request()
            answer(late, version = 1)
            assertEquals(LeaseReceipt.RENEWED, answer(early, version = 1))
            time += 2_500.milliseconds

            assertTrue(admits())
        }

        @Test
        fun `does not admit work once the state is out`() {
            answer(request(), version = 1)
            answer(request(), version = 2, state = OUT)

            assertTrue(lease.isValid(time.markNow()))
            assertFalse(admits())
        }
    }

    @Nested
    inner class LateGrants {
        @Test
        fun `of an earlier version are ignored`() {
            val early = request()
            answer(request(), version = 2, state = OUT)

            assertEquals(LeaseReceipt.OLDER_VERSION, answer(early, version = 1))
            assertEquals(2, lease.knownVersion)
            assertFalse(admits())
        }

        @Test
        fun `are applied once`() {
            val request = request()
            answer(request, version = 1)

            assertEquals(LeaseReceipt.UNEXPECTED, answer(request, version = 1))
        }
    }
}
