package org.hibiscusproxy.daemon.sidecar

import com.github.michaelbull.result.unwrap
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.hibiscusproxy.daemon.settings.SidecarSettings
import org.hibiscusproxy.daemon.testing.FakeController
import org.hibiscusproxy.daemon.testing.FakeTarget
import org.hibiscusproxy.daemon.testing.TestFleet
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.BOOKING
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.awaitUntil
import org.hibiscusproxy.daemon.testing.answer
import org.hibiscusproxy.daemon.transport.KtorPeerTransport
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.BrokenReason
import org.hibiscusproxy.protocol.CrashReport
import org.hibiscusproxy.protocol.Dispatch
import org.hibiscusproxy.protocol.EngineOrder
import org.hibiscusproxy.protocol.EngineOrderResult
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseAcknowledgement
import org.hibiscusproxy.protocol.LeaseRequest
import org.hibiscusproxy.protocol.NotRun
import org.hibiscusproxy.protocol.NotRunReason
import org.hibiscusproxy.protocol.NotSentReason
import org.hibiscusproxy.protocol.OrderOutcome
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.PoolLoad
import org.hibiscusproxy.protocol.RequestIdentifier
import org.hibiscusproxy.protocol.ResponseBroken
import org.hibiscusproxy.protocol.ResponseEnd
import org.hibiscusproxy.protocol.ResponseHead
import org.hibiscusproxy.timeline.FleetEvent
import org.junit.jupiter.api.Nested

class SidecarTest {
    private val fleet = TestFleet()
    private val target = FakeTarget()
    private val release = CountDownLatch(1)
    private val transport = KtorPeerTransport(
        Hello(ProcessName("test"), TestFleet.NORTH, Incarnation(1)),
        FakeController.KEY,
        SimpleMeterRegistry(),
    )

    @AfterTest
    fun close() {
        release.countDown()
        listOf(transport, fleet, target).forEach { it.close() }
    }

    private fun start(): Sidecar {
        val sidecar = fleet.sidecar("desk", target.url, BOOKING, capacity = 2)
        fleet.publish()
        awaitUntil { sidecar.isReady }
        return sidecar
    }

    private suspend fun connect(sidecar: Sidecar): PeerConnection =
        transport.connect(sidecar.address).unwrap()

    private fun PeerConnection.dispatch(
        number: Int,
        incarnation: Incarnation = remote.incarnation,
        milliseconds: Long = 5_000,
    ) = Dispatch(
        Attempt(RequestIdentifier("r$number"), 1),
        incarnation,
        TeamName("repair"),
        BOOKING,
        Priority.NORMAL,
        milliseconds,
        repeatable = false,
        Fingerprint(number.toLong()),
        "POST",
        "/slots",
        emptyList(),
        Payload.of("slot $number"),
    )

    /** Receives messages until the attempt of request [number] has ended, and returns the last. */
    private suspend fun PeerConnection.awaitEnd(number: Int): PeerMessage = withTimeout(5.seconds) {
        var message: PeerMessage
        do message = incoming.receive() while (!message.endsAttemptOf("r$number"))
        message
    }

    private fun PeerMessage.endsAttemptOf(request: String): Boolean = when (this) {
        is NotRun -> attempt.request.value == request
        is ResponseEnd -> attempt.request.value == request
        is ResponseBroken -> attempt.request.value == request
        else -> false
    }

    private fun blockUntilReleased() {
        target.behaviour = { _, _ ->
            release.await(10, TimeUnit.SECONDS)
            false
        }
    }

    @Nested
    inner class Attempts {
        /** Guards against the HTTP client's automatic resend after such an answer. */
        @Test
        fun `run once when the target asks to try again at once`() = runBlocking {
            target.behaviour = { exchange, _ ->
                exchange.responseHeaders.add("Retry-After", "0")
                exchange.answer("text/plain", "busy", status = 503)
                true
            }
            val connection = connect(start())
            connection.send(connection.dispatch(1))
            val head = withTimeout(5.seconds) { connection.incoming.receive() }
            assertIs<ResponseEnd>(connection.awaitEnd(1))
            assertEquals(1, target.callsOf("/slots").size)
            val retryAfter = assertIs<ResponseHead>(head).headers
                .filter { it.name.equals("Retry-After", ignoreCase = true) }
            assertEquals(listOf("0"), retryAfter.map { it.value })
        }

        /** Guards against a repeated or late dispatch that runs the booking a second time. */
        @Test
        fun `run once when they are dispatched twice, and get no false refusal`() = runBlocking {
            val connection = connect(start())
            blockUntilReleased()
            repeat(2) { connection.send(connection.dispatch(1)) }
            awaitUntil { target.calls.size == 1 }
            assertNull(withTimeoutOrNull(200.milliseconds) { connection.incoming.receive() })
            release.countDown()
            assertIs<ResponseEnd>(connection.awaitEnd(1))
            connection.send(connection.dispatch(1))
            connection.send(connection.dispatch(2))
            assertIs<ResponseEnd>(connection.awaitEnd(2))
            assertEquals(listOf("slot 1", "slot 2"), target.calls.map { it.body })
        }

        @Test
        fun `for an earlier incarnation are refused`() = runBlocking {
            val connection = connect(start())
            connection.send(connection.dispatch(1, Incarnation(0)))
            val refusal = assertIs<NotRun>(connection.awaitEnd(1))
            assertEquals(NotRunReason.OLD_INCARNATION, refusal.reason)
        }

        @Test
        fun `that wait are not sent to the target after their connection is lost`() = runBlocking {
            val sidecar = start()
            val connection = connect(sidecar)
            blockUntilReleased()
            repeat(3) { connection.send(connection.dispatch(it)) }
            awaitUntil { target.calls.size == 2 }
            connection.close()
            val other = connect(sidecar)
            awaitUntil { sidecarIsIdle(other) }
            assertEquals(0, target.calls.count { it.body == "slot 2" })
        }

        /** The capacity is 2, so an answer shows that the sidecar has free capacity. */
        private fun sidecarIsIdle(connection: PeerConnection): Boolean = runBlocking {
            target.behaviour = { _, _ -> false }
            connection.send(connection.dispatch(9))
            connection.awaitEnd(9) is ResponseEnd
        }

        @Test
        fun `that pass their deadline at the target are broken`() = runBlocking {
            val connection = connect(start())
            blockUntilReleased()
            connection.send(connection.dispatch(1, milliseconds = 200))
            assertEquals(
                BrokenReason.DEADLINE,
                assertIs<ResponseBroken>(connection.awaitEnd(1)).reason,
            )
        }
    }

    @Nested
    inner class LostTargets {
        @Test
        fun `are reported with all requests in flight as one crash`() = runBlocking {
            val connection = connect(start())
            target.behaviour = { _, _ ->
                release.await(10, TimeUnit.SECONDS)
                throw IOException("crash")
            }
            repeat(2) { connection.send(connection.dispatch(it)) }
            awaitUntil { target.calls.size == 2 }
            release.countDown()
            awaitUntil { fleet.controller.received.any { it is CrashReport } }
            val reports = fleet.controller.received.filterIsInstance<CrashReport>()
            assertEquals(
                listOf(setOf(Fingerprint(0), Fingerprint(1))),
                reports.map { it.fingerprints.toSet() },
            )
        }

        @Test
        fun `that cannot be reached did not run the request`() = runBlocking {
            val connection = connect(start())
            target.close()
            connection.send(connection.dispatch(1))
            val refusal = assertIs<NotRun>(connection.awaitEnd(1))
            assertEquals(NotRunReason.TARGET_UNREACHABLE, refusal.reason)
        }
    }

    @Nested
    inner class Leases {
        @Test
        fun `are taken from the leader that a controller names`() {
            val follower = FakeController("follower")
            follower.leader = fleet.controller.address.name
            val section = SidecarSettings(
                TargetName("desk"),
                NetworkAddress("127.0.0.1", 0),
                target.url,
            )
            val settings = fleet.settings(
                "sidecar-desk",
                listOf(follower.address, fleet.controller.address),
            ).copy(sidecar = section)
            val sidecar = Sidecar.of(settings, fleet.context())
            runBlocking { sidecar.start() }
            fleet.addTarget("desk", sidecar.address, BOOKING)
            fleet.publish()
            try {
                awaitUntil { sidecar.isReady }
                awaitUntil {
                    fleet.controller.received.any { it is LeaseAcknowledgement && it.version == 1L }
                }
            } finally {
                sidecar.close()
                follower.close()
            }
        }

        /** Guards against changes that take effect only at the next regular renewal. */
        @Test
        fun `are renewed at once when a change is effective`() {
            start()
            fleet.publish()
            awaitUntil(500.milliseconds) {
                fleet.controller.received.any { it is LeaseAcknowledgement && it.version == 2L }
            }
        }

        /** Guards against changes that sidecars of other targets confirm only by lease expiry. */
        @Test
        fun `confirm a version at once that leaves their objects as they are`() {
            start()
            fleet.controller.confirm(version = 9)
            awaitUntil(500.milliseconds) {
                fleet.controller.received.any { it is LeaseAcknowledgement && it.version == 9L }
            }
        }

        /** Guards against a bound from an outdated pool load, which slows an idle pool's growth. */
        @Test
        fun `are renewed early while the load bound holds requests back`() = runBlocking {
            fleet.controller.pool = PoolLoad(running = 0, targets = 4)
            blockUntilReleased()
            val connection = connect(start())
            (1..2).forEach { connection.send(connection.dispatch(it)) }
            val before = fleet.controller.received.count { it is LeaseRequest }
            awaitUntil(700.milliseconds) {
                fleet.controller.received.count { it is LeaseRequest } >= before + 3
            }
        }
    }

    @Nested
    inner class Orders {
        private fun order(number: Long, sidecarIncarnation: Long = 1) = fleet.controller.broadcast(
            EngineOrder(
                number,
                TargetName("desk"),
                Incarnation(sidecarIncarnation),
                "load-model",
                "m",
            ),
        )

        private fun outcomes() =
            fleet.controller.received.filterIsInstance<EngineOrderResult>().map { it.outcome }

        @Test
        fun `reach the engine with the fencing number of the lease`() {
            fleet.controller.fencingNumber = 5
            start()
            order(1)
            awaitUntil { outcomes().isNotEmpty() }
            assertEquals(listOf<OrderOutcome>(OrderOutcome.Accepted(5)), outcomes())
            val body = """{"fencingNumber":5,"kind":"load-model","value":"m"}"""
            assertEquals(listOf(body), target.callsOf("/orders").map { it.body })
        }

        /** Guards against a sidecar that sends orders after its lease expired. */
        @Test
        fun `are not sent after the lease ran out or for another incarnation`() {
            fleet.controller.leaseMilliseconds = 400
            start()
            order(1, sidecarIncarnation = 2)
            fleet.controller.grantsLeases = false
            awaitUntil { fleet.events.any { it is FleetEvent.LeaseExpired } }
            order(2)
            awaitUntil { outcomes().size == 2 }
            val expected = listOf(NotSentReason.OTHER_INCARNATION, NotSentReason.NO_LEASE)
            assertEquals(expected.map { OrderOutcome.NotSent(it) }, outcomes())
            assertEquals(emptyList(), target.callsOf("/orders"))
        }
    }
}
