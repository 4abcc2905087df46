package org.hibiscusproxy.daemon.controller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.hibiscusproxy.daemon.settings.ControllerAddress
import org.hibiscusproxy.daemon.transport.ConnectFailure
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.daemon.transport.PeerTransport
import org.hibiscusproxy.daemon.transport.SendFailure
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.ConsensusEnvelope
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.PeerMessage

/** Guards against memory that fills with requests to an unreachable controller, and links that end. */
class ReplicaLinkTest {
    private val sent = mutableListOf<ConsensusEnvelope>()
    private var isReachable = false

    private inner class Connection : PeerConnection {
        override val remote = Hello(ProcessName("c2"), DataCenterName("lj"), Incarnation(1))
        override val incoming = Channel<PeerMessage>()

        override suspend fun send(message: PeerMessage): Result<Unit, SendFailure> {
            sent += message as ConsensusEnvelope
            return Ok(Unit)
        }

        override fun close() {
            incoming.close()
        }
    }

    private var attempts = 0
    private var firstFailure: Exception? = null

    private val transport = object : PeerTransport {
        override suspend fun connect(
            address: NetworkAddress,
        ): Result<PeerConnection, ConnectFailure> {
            attempts += 1
            if (attempts == 1) firstFailure?.let { throw it }
            return if (isReachable) {
                Ok(Connection())
            } else {
                Err(ConnectFailure.HandshakeTimeout(address))
            }
        }

        override suspend fun listen(
            address: NetworkAddress,
            handle: suspend (PeerConnection) -> Unit,
        ) = AutoCloseable { }
    }
    private val address = NetworkAddress("127.0.0.1", 1)
    private val link = ReplicaLink(ControllerAddress(ProcessName("c2"), address), transport)

    private fun message(number: Int, bytes: Int) =
        ConsensusEnvelope(Payload(ByteArray(bytes).apply { this[0] = number.toByte() }))

    @Test
    fun `keeps the newest request and all heartbeats until the controller is reached`() = runTest {
        link.start(backgroundScope)
        val heartbeats = (1..100).map { message(it, HEARTBEAT_BYTES) }
        heartbeats.forEachIndexed { number, heartbeat ->
            link.send(message(number, REQUEST_BYTES))
            link.send(heartbeat)
        }
        delay(1.seconds)
        isReachable = true
        delay(1.seconds)
        val bytes = sent.sumOf { it.content.bytes.size }
        assertTrue(bytes <= REQUEST_BYTES + 100 * HEARTBEAT_BYTES, "$bytes bytes were queued")
        assertEquals(99, sent.single { it.content.bytes.size == REQUEST_BYTES }.number())
        assertEquals(heartbeats, sent.filter { it.content.bytes.size == HEARTBEAT_BYTES })
    }

    @Test
    fun `drops the oldest of too many messages`() = runTest {
        repeat(1_100) { link.send(message(it, HEARTBEAT_BYTES)) }
        isReachable = true
        link.start(backgroundScope)
        delay(1.seconds)
        assertEquals(1_024, sent.size)
        assertEquals((1_099).toByte().toInt(), sent.last().number())
    }

    @Test
    fun `is opened again after an exception`() = runTest {
        firstFailure = IllegalStateException("unexpected frame")
        link.start(backgroundScope)
        delay(2.seconds)
        assertTrue(attempts > 2, "$attempts attempts")
    }

    private fun ConsensusEnvelope.number() = content.bytes[0].toInt()

    private companion object {
        const val REQUEST_BYTES = 400_000
        const val HEARTBEAT_BYTES = 30
    }
}
