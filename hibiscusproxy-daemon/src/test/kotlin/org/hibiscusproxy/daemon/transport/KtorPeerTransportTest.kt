package org.hibiscusproxy.daemon.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import com.github.michaelbull.result.unwrap
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.io.DataInputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.file.Files
import java.util.concurrent.atomic.AtomicInteger
import kotlin.io.path.writeText
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseRenewNow
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.RequestIdentifier
import org.hibiscusproxy.protocol.ResponseChunk
import org.junit.jupiter.api.Nested

class KtorPeerTransportTest {
    private val registry = SimpleMeterRegistry()
    private val opened = mutableListOf<AutoCloseable>()
    private val received = Channel<PeerMessage>(Channel.UNLIMITED)
    private val loopback = NetworkAddress("127.0.0.1", 0)
    private val shortHandshake = TransportSettings(handshakeTimeout = 500.milliseconds)

    @AfterTest
    fun closeAll() = opened.asReversed().forEach { it.close() }

    private fun transport(
        name: String,
        key: String = "0123456789abcdef",
        settings: TransportSettings = shortHandshake,
        meters: SimpleMeterRegistry = SimpleMeterRegistry(),
    ): KtorPeerTransport {
        val hello = Hello(ProcessName(name), DataCenterName("north"), Incarnation(1))
        val fleetKey = FleetKey.of(key.encodeToByteArray()).unwrap()
        return KtorPeerTransport(hello, fleetKey, meters, settings).also(opened::add)
    }

    /** Starts a server that counts in [registry] and forwards messages to [received]. */
    private suspend fun server(settings: TransportSettings = shortHandshake): PeerListener {
        val transport = transport("server", settings = settings, meters = registry)
        val listener = transport.listen(loopback) { connection ->
            for (message in connection.incoming) received.send(message)
        }
        return listener.also(opened::add)
    }

    private fun bytes(direction: String, kind: String, from: SimpleMeterRegistry): Double =
        from.get("hibiscus.transport.bytes")
            .tags("direction", direction, "class", kind).counter().count()

    private fun refused(reason: String): Double =
        registry.get("hibiscus.transport.refused").tag("reason", reason).counter().count()

    private suspend fun awaitClosed(connection: PeerConnection) = withTimeout(5.seconds) {
        for (ignored in connection.incoming) Unit
    }

    private fun chunk(index: Int, size: Int = 3) = ResponseChunk(
        Attempt(RequestIdentifier("r"), 1),
        index,
        Payload(ByteArray(size) { index.toByte() }),
    )

    @Nested
    inner class Messages {
        @Test
        fun `arrive complete and in order with the peer's identity`() = runBlocking {
            val connection = transport("client").connect(server().address).unwrap()
            assertEquals(ProcessName("server"), connection.remote.process)
            val sent = List(200) { chunk(it, size = it * 500) }
            sent.forEach { assertEquals(Ok(Unit), connection.send(it)) }
            assertEquals(sent, withTimeout(5.seconds) { List(200) { received.receive() } })
        }

        @Test
        fun `are counted by class`() = runBlocking {
            val clientMeters = SimpleMeterRegistry()
            val connection = transport("client", meters = clientMeters)
                .connect(server().address).unwrap()
            connection.send(chunk(0, size = 10_000))
            connection.send(LeaseRenewNow(7))
            repeat(2) { received.receive() }
            assertEquals(bytes("sent", "data", clientMeters), bytes("received", "data", registry))
            assertTrue(bytes("sent", "data", clientMeters) in 10_000.0..10_100.0)
            assertTrue(bytes("received", "control", registry) in 21.0..60.0)
        }

        /**
         * Guards against unbounded memory use at the sender while the receiver does not read. Other
         * messages pass meanwhile, so that a busy machine is given more time.
         */
        @Test
        fun `wait at the sender when the receiver does not read`() = runBlocking {
            // Its time limits on connections would also depend on the load of the machine.
            val settings = TransportSettings(30.seconds, 30.seconds, heartbeatInterval = null)
            val meters = SimpleMeterRegistry()
            val mayRead = CompletableDeferred<Unit>()
            val read = Channel<PeerMessage>(Channel.UNLIMITED)
            val listener = transport("server", settings = settings, meters = meters)
                .listen(loopback) { connection ->
                    mayRead.await()
                    for (message in connection.incoming) read.send(message)
                }.also(opened::add)
            val relay = relayWithSmallBuffers(listener.address, meters).also(opened::add)
            val connection =
                transport("client", settings = settings).connect(relay.address).unwrap()
            val other =
                transport("other", settings = settings).connect(server(settings).address).unwrap()
            // A sender that blocks its thread would keep the other messages from passing.
            val senderThread = Dispatchers.Default.limitedParallelism(1)
            val count = AtomicInteger()
            val sender = launch(senderThread) {
                repeat(400) {
                    assertEquals(Ok(Unit), connection.send(chunk(it, size = 100_000)))
                    count.incrementAndGet()
                }
            }
            suspend fun countAfterOtherMessages(): Int = withContext(senderThread) {
                repeat(20) { other.send(chunk(it, size = 100_000)) }
                repeat(20) { received.receive() }
                delay(300.milliseconds)
                count.get()
            }
            val before = withTimeout(60.seconds) {
                var last = countAfterOtherMessages()
                while (true) {
                    val next = countAfterOtherMessages()
                    if (next == last) break
                    last = next
                }
                last
            }
            assertEquals(before, withTimeout(60.seconds) { countAfterOtherMessages() })
            assertTrue(before < 400, "queued $before messages of 100 kB")
            mayRead.complete(Unit)
            withTimeout(60.seconds) {
                repeat(400) { assertEquals(chunk(it, size = 100_000), read.receive()) }
                sender.join()
            }
        }

        /**
         * Forwards a frame when the server has received all but 1 MB of those before it, since the
         * operating system's buffers otherwise grow with the load.
         */
        private fun relayWithSmallBuffers(
            server: NetworkAddress,
            meters: SimpleMeterRegistry,
        ): FrameTamperer {
            var forwarded = 0L
            return FrameTamperer(server, receiveBufferBytes = 512 * 1024) { _, frame ->
                while (forwarded > bytes("received", "data", meters) + 1_000_000) Thread.sleep(1)
                forwarded += frame.size
                listOf(frame)
            }
        }

        @Test
        fun `over the frame limit are refused at the sender`() = runBlocking {
            val connection = transport("client").connect(server().address).unwrap()
            val failure = connection.send(chunk(0, size = 8 * 1024 * 1024))
            assertIs<SendFailure.MessageTooLarge>(failure.component2())
            connection.send(chunk(1))
            assertEquals(chunk(1), received.receive())
        }
    }

    @Nested
    inner class Authentication {
        @Test
        fun `refuses a wrong key on both sides and counts it`() = runBlocking {
            val address = server().address
            val outcome = transport("client", key = "another key of the fleet").connect(address)
            assertEquals(Err(ConnectFailure.NotAuthenticated(address)), outcome)
            withTimeout(2.seconds) { while (refused("handshake") < 1.0) delay(5.milliseconds) }
        }

        @Test
        fun `times out when the peer sends nothing`() = runBlocking {
            val silent = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).also(opened::add)
            val address = NetworkAddress("127.0.0.1", silent.localPort)
            val outcome = transport("client").connect(address)
            assertEquals(Err(ConnectFailure.HandshakeTimeout(address)), outcome)
        }

        /** Guards against clients of other protocols that hold a connection open indefinitely. */
        @Test
        fun `closes accepted connections that send no handshake`() = runBlocking {
            val address = server().address
            withContext(Dispatchers.IO) {
                Socket(address.host, address.port).use { socket ->
                    socket.soTimeout = 5_000
                    assertEquals(-1, DataInputStream(socket.inputStream).read())
                }
            }
            // The connection is closed before the refusal is counted, on another thread.
            withTimeout(2.seconds) {
                while (refused("handshake-timeout") < 1.0) delay(5.milliseconds)
            }
            assertEquals(1.0, refused("handshake-timeout"))
        }

        @Test
        fun `reports an address without a listener`() = runBlocking {
            val unused = ServerSocket(0).use { it.localPort }
            val outcome = transport("client").connect(NetworkAddress("127.0.0.1", unused))
            assertIs<ConnectFailure.Unreachable>(outcome.component2())
            Unit
        }

        @Test
        fun `hides the key and refuses a short one`() {
            val file = Files.createTempFile("fleet", ".key").also { it.writeText("short\n") }
            assertEquals(Err(FleetKeyFailure.TooShort(5, 16)), FleetKey.read(file))
            file.writeText("0123456789abcdef\n")
            val key = FleetKey.read(file).unwrap()
            assertEquals("FleetKey(hidden)", key.toString())
            assertEquals(
                FleetKey.of("0123456789abcdef".toByteArray()).get()?.operatorToken,
                key.operatorToken,
            )
            assertTrue(!key.isOperatorToken("") && key.isOperatorToken(key.operatorToken))
        }
    }

    @Nested
    inner class FaultyFrames {
        /** Frame 0 is the `Hello` message, frame 1 the first message sent. */
        private fun assertClosesOnlyItsConnection(
            reason: String,
            transform: (Int, ByteArray) -> List<ByteArray>,
        ) = runBlocking {
            val address = server().address
            val other = transport("other").connect(address).unwrap()
            val tamperer = FrameTamperer(address, transform = transform).also(opened::add)
            val connection = transport("client").connect(tamperer.address).unwrap()
            connection.send(chunk(1))
            connection.send(chunk(2))
            awaitClosed(connection)
            assertEquals(1.0, refused(reason))
            other.send(chunk(3))
            var last: PeerMessage
            do last = withTimeout(2.seconds) { received.receive() } while (last == chunk(1))
            assertEquals(chunk(3), last)
        }

        @Test
        fun `that are replayed close only their connection`() =
            assertClosesOnlyItsConnection("bad-tag") { number, frame ->
                if (number == 1) listOf(frame, frame) else listOf(frame)
            }

        @Test
        fun `that are missing close only their connection`() =
            assertClosesOnlyItsConnection("bad-tag") { number, frame ->
                if (number == 1) emptyList() else listOf(frame)
            }

        @Test
        fun `that are corrupted close only their connection`() =
            assertClosesOnlyItsConnection("bad-tag") { number, frame ->
                if (number == 2) frame[frame.size / 2] = (frame[frame.size / 2] + 1).toByte()
                listOf(frame)
            }

        @Test
        fun `that are oversized close only their connection`() =
            assertClosesOnlyItsConnection("oversized") { number, frame ->
                if (number == 2) frame[0] = 0x7f
                listOf(frame)
            }
    }

    @Nested
    inner class Silence {
        private val shortSilenceLimit = TransportSettings(
            heartbeatInterval = 50.milliseconds,
            silenceLimit = 250.milliseconds,
        )

        @Test
        fun `does not close an idle connection with heartbeats`() = runBlocking {
            val client = transport("client", settings = shortSilenceLimit)
            val connection = client.connect(server(shortSilenceLimit).address).unwrap()
            delay(700.milliseconds)
            connection.send(chunk(1))
            assertEquals(chunk(1), withTimeout(1.seconds) { received.receive() })
            assertEquals(0.0, refused("silence"))
        }

        /** Guards against streams that hang indefinitely when the network drops packets silently. */
        @Test
        fun `closes a connection whose frames stop arriving`() = runBlocking {
            val tamperer = FrameTamperer(server(shortSilenceLimit).address) { number, frame ->
                if (number > 3) emptyList() else listOf(frame)
            }.also(opened::add)
            val client = transport("client", settings = shortSilenceLimit)
            val connection = client.connect(tamperer.address).unwrap()
            awaitClosed(connection)
            assertEquals(1.0, refused("silence"))
        }
    }
}
