package org.hibiscusproxy.daemon.forwarding

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.hibiscusproxy.daemon.transport.ConnectFailure
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.daemon.transport.PeerTransport
import org.hibiscusproxy.daemon.transport.SendFailure
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.RoutingCurrent
import org.hibiscusproxy.protocol.RoutingRequest

class ControllerFeedTest {
    private val controller = ProcessName("127.0.0.1:7000")

    /** Refuses all connections, like an instance without a listener. */
    private class RefusingTransport : PeerTransport {
        var attempts = 0

        override suspend fun connect(
            address: NetworkAddress,
        ): Result<PeerConnection, ConnectFailure> {
            attempts += 1
            return Err(ConnectFailure.Unreachable(address, "refused"))
        }

        override suspend fun listen(
            address: NetworkAddress,
            handle: suspend (PeerConnection) -> Unit,
        ) = AutoCloseable { }
    }

    /** Connects to controllers that announce revision 8 and are asked for routing. */
    private class AnnouncingTransport : PeerTransport {
        val requests = mutableListOf<PeerMessage>()

        override suspend fun connect(
            address: NetworkAddress,
        ): Result<PeerConnection, ConnectFailure> = Ok(Connection(address))

        override suspend fun listen(
            address: NetworkAddress,
            handle: suspend (PeerConnection) -> Unit,
        ) = AutoCloseable { }

        private inner class Connection(address: NetworkAddress) : PeerConnection {
            override val remote =
                Hello(ProcessName("$address"), DataCenterName("a"), Incarnation(1))
            override val incoming = Channel<PeerMessage>(1).apply {
                trySend(RoutingCurrent(8, false, emptyList()))
            }

            override suspend fun send(message: PeerMessage): Result<Unit, SendFailure> {
                requests += message
                return Ok(Unit)
            }

            override fun close() = Unit
        }
    }

    private fun attemptsInTwoSeconds(knownRevision: Long): Int {
        val transport = RefusingTransport()
        runTest {
            val feed = ControllerFeed(
                listOf(controller),
                null,
                transport,
                backgroundScope,
                { knownRevision },
                { _, _ -> },
            )
            feed.start()
            advanceTimeBy(2.seconds)
        }
        return transport.attempts
    }

    @Test
    fun `retries a controller at short intervals until routing is received`() {
        val attempts = attemptsInTwoSeconds(knownRevision = 0)
        assertTrue(attempts in 20..42, "$attempts attempts")
    }

    @Test
    fun `retries a lost controller less often once routing is received`() {
        val attempts = attemptsInTwoSeconds(knownRevision = 1)
        assertTrue(attempts in 4..9, "$attempts attempts")
    }

    @Test
    fun `does not request one change from every controller that announces it`() {
        val transport = AnnouncingTransport()
        val controllers = (1..5).map { ProcessName("127.0.0.1:700$it") }
        runTest {
            ControllerFeed(controllers, null, transport, backgroundScope, {
                7
            }, { _, _ -> }).start()
            advanceTimeBy(1.seconds)
        }
        assertEquals<List<PeerMessage>>(controllers.map { RoutingRequest(7) }, transport.requests)
    }
}
