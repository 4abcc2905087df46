package org.hibiscusproxy.daemon.sidecar

import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.hibiscusproxy.control.LeaseReceipt
import org.hibiscusproxy.control.SidecarLease
import org.hibiscusproxy.daemon.testing.FakeTarget
import org.hibiscusproxy.daemon.testing.OrderEngine
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.awaitUntil
import org.hibiscusproxy.daemon.testing.answer
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.EngineOrder
import org.hibiscusproxy.protocol.EngineOrderResult
import org.hibiscusproxy.protocol.EngineRefusal
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.LoadReport
import org.hibiscusproxy.protocol.NotSentReason
import org.hibiscusproxy.protocol.OrderOutcome
import org.hibiscusproxy.protocol.PoolLoad
import org.junit.jupiter.api.Nested

/** Guards against orders that run twice, without a lease or after one of a later incarnation. */
class OrderProcessorTest {
    private val engine = FakeTarget()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val target = TargetName("desk")
    private val release = CountDownLatch(1)
    private val time = TestTimeSource()

    @AfterTest
    fun close() {
        release.countDown()
        scope.cancel()
        engine.close()
    }

    /** One incarnation of a sidecar, whose lease uses the test's clock. */
    private inner class SidecarIncarnation(val incarnation: Long, val url: String = engine.url) {
        private val lease = SidecarLease(target, Incarnation(incarnation))
        private val results = LinkedBlockingQueue<EngineOrderResult>()
        var isDraining = false

        /** Runs after the connection is open and before the lease is checked. */
        var beforeCheck: () -> Unit = {}
        private var checks = 0
        private val processor = OrderProcessor(
            Incarnation(incarnation),
            OrderClient(url, 1.seconds, ::held) { isDraining },
        ) { results.put(it) }

        private fun held(): LeaseGrant? {
            if (++checks == 2) beforeCheck()
            return lease.grant.takeIf { lease.isValid(time.markNow()) }
        }

        fun renew(fencingNumber: Long = incarnation) = apply {
            val request = lease.request(LoadReport(), time.markNow())
            val grant = LeaseGrant(
                request.number,
                target,
                1,
                OperationalState.IN,
                fencingNumber,
                3_000,
                PoolLoad(0, 1),
            )
            assertEquals(LeaseReceipt.NEW_VERSION, lease.receive(grant))
        }

        fun submit(number: Long, value: String = "m$number", to: Long = incarnation) =
            processor.process(
                EngineOrder(number, target, Incarnation(to), "load-model", value),
                scope,
            )

        fun outcome(): OrderOutcome = assertNotNull(results.poll(5, TimeUnit.SECONDS)).outcome

        fun order(number: Long, value: String = "m$number", to: Long = incarnation): OrderOutcome {
            submit(number, value, to)
            return outcome()
        }

        fun assertNoOutcomeYet() = assertNull(results.poll(150, TimeUnit.MILLISECONDS))
    }

    private fun notSent(reason: NotSentReason) = OrderOutcome.NotSent(reason)

    private fun bodies() = engine.callsOf("/orders").map { it.body }

    @Nested
    inner class Outcomes {
        @Test
        fun `of an accepted order name the lease's fencing number`() {
            assertEquals(OrderOutcome.Accepted(7), SidecarIncarnation(1).renew(7).order(1))
            val body = """{"fencingNumber":7,"kind":"load-model","value":"m1"}"""
            assertEquals(listOf(body), bodies())
        }

        @Test
        fun `tell a stale number, an invalid order and a failed engine apart`() {
            val sidecar = SidecarIncarnation(1).renew()
            val outcomes = listOf(409, 400, 500).map { status ->
                engine.behaviour = { exchange, _ ->
                    exchange.answer("text/plain", "no", status)
                    true
                }
                sidecar.order(status.toLong())
            }
            val expected = listOf(
                OrderOutcome.RefusedByEngine(EngineRefusal.STALE_FENCING_NUMBER, 409),
                OrderOutcome.RefusedByEngine(EngineRefusal.INVALID_ORDER, 400),
                OrderOutcome.Unknown,
            )
            assertEquals(expected, outcomes)
        }

        @Test
        fun `are not sent without a lease, for another incarnation and while leaving`() {
            val sidecar = SidecarIncarnation(2)
            assertEquals(notSent(NotSentReason.NO_LEASE), sidecar.order(1))
            sidecar.renew()
            assertEquals(notSent(NotSentReason.OTHER_INCARNATION), sidecar.order(2, to = 1))
            sidecar.isDraining = true
            assertEquals(notSent(NotSentReason.LEAVING), sidecar.order(3))
            assertEquals(emptyList(), bodies())
        }

        @Test
        fun `are not sent when the engine refuses the connection`() {
            engine.close()
            assertEquals(
                notSent(NotSentReason.ENGINE_UNREACHABLE),
                SidecarIncarnation(1).renew().order(1),
            )
        }

        /** Guards against "not sent" for an order that the engine may have carried out. */
        @Test
        fun `are unknown when the engine does not answer or cuts off`() {
            val sidecar = SidecarIncarnation(1).renew()
            engine.behaviour = { _, _ ->
                release.await(5, TimeUnit.SECONDS)
                false
            }
            assertEquals(OrderOutcome.Unknown, sidecar.order(1))
            engine.behaviour = { _, _ -> throw IOException("cut off") }
            assertEquals(OrderOutcome.Unknown, sidecar.order(2))
        }

        /** Guards against the HTTP client's automatic resend after such an answer. */
        @Test
        fun `are unknown without a second call when the engine asks to retry at once`() {
            engine.behaviour = { exchange, _ ->
                exchange.responseHeaders.add("Retry-After", "0")
                exchange.answer("text/plain", "busy", status = 503)
                true
            }
            assertEquals(OrderOutcome.Unknown, SidecarIncarnation(1).renew().order(1))
            assertEquals(1, bodies().size)
        }
    }

    @Nested
    inner class Resends {
        @Test
        fun `get the first outcome and do not run again`() {
            val sidecar = SidecarIncarnation(1).renew()
            assertEquals(List(2) { OrderOutcome.Accepted(1) }, List(2) { sidecar.order(1) })
            assertEquals(1, bodies().size)
        }

        /** Also guards against a call that blocks the connection on which orders arrive. */
        @Test
        fun `of an order in progress wait for its outcome`() {
            val sidecar = SidecarIncarnation(1).renew()
            engine.behaviour = { exchange, _ ->
                release.await(5, TimeUnit.SECONDS)
                exchange.answer("text/plain", "ok")
                true
            }
            repeat(2) { sidecar.submit(1) }
            sidecar.assertNoOutcomeYet()
            release.countDown()
            assertEquals(List(2) { OrderOutcome.Accepted(1) }, List(2) { sidecar.outcome() })
            assertEquals(1, bodies().size)
        }

        /** Guards against a late duplicate that runs after "not sent" was reported. */
        @Test
        fun `of an order that was not sent are not sent`() {
            val sidecar = SidecarIncarnation(1)
            sidecar.order(1)
            sidecar.renew()
            assertEquals(notSent(NotSentReason.NO_LEASE), sidecar.order(1))
            assertEquals(emptyList(), bodies())
        }

        @Test
        fun `with other content are refused`() {
            val sidecar = SidecarIncarnation(1).renew()
            sidecar.order(1)
            assertEquals(notSent(NotSentReason.NUMBER_REUSED), sidecar.order(1, "other"))
            assertEquals(1, bodies().size)
        }
    }

    @Nested
    inner class StaleSidecars {
        private val old = SidecarIncarnation(1).renew()
        private val next = SidecarIncarnation(2)

        private fun expireLeaseAndReplace() {
            time += 3.seconds + 100.milliseconds
            assertEquals(OrderOutcome.Accepted(2), next.renew().order(1, "new"))
        }

        @Test
        fun `send nothing to an engine that ignores the number`() {
            val orders = OrderEngine(engine, checksFencing = false)
            assertEquals(OrderOutcome.Accepted(1), old.order(1, "old"))
            expireLeaseAndReplace()
            assertEquals(notSent(NotSentReason.NO_LEASE), old.order(2, "late"))
            assertEquals(listOf("old", "new"), orders.carriedOut)
        }

        /** The sidecar is suspended after it built the request and opened the connection. */
        @Test
        fun `that froze before the first byte send nothing when they continue`() {
            val orders = OrderEngine(engine, checksFencing = false)
            old.beforeCheck = { expireLeaseAndReplace() }
            assertEquals(notSent(NotSentReason.NO_LEASE), old.order(2, "late"))
            awaitUntil { orders.carriedOut.isNotEmpty() }
            assertEquals(listOf("new"), orders.carriedOut)
        }

        /** The later incarnation need not wait here; the old lease is still valid. */
        @Test
        fun `are refused by an engine that checks the number`() {
            val orders = OrderEngine(engine, checksFencing = true)
            assertEquals(OrderOutcome.Accepted(2), next.renew().order(1, "new"))
            assertEquals(
                OrderOutcome.RefusedByEngine(EngineRefusal.STALE_FENCING_NUMBER, 409),
                old.order(2, "late"),
            )
            assertEquals(listOf("new"), orders.carriedOut)
        }
    }
}
