package org.hibiscusproxy.daemon.sidecar

import com.github.michaelbull.result.unwrap
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.hibiscusproxy.daemon.testing.FakeController
import org.hibiscusproxy.daemon.testing.TestFleet
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.BOOKING
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.awaitUntil
import org.hibiscusproxy.daemon.transport.KtorPeerTransport
import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.Dispatch
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.RequestIdentifier
import org.hibiscusproxy.protocol.ResponseBroken
import org.hibiscusproxy.protocol.ResponseEnd
import org.junit.jupiter.api.Nested

/** Event streams with neither a length nor chunks, which end with their connection. */
class InterruptedStreamTest {
    private val fleet = TestFleet()
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val transport = KtorPeerTransport(
        Hello(ProcessName("test"), TestFleet.NORTH, Incarnation(1)),
        FakeController.KEY,
        SimpleMeterRegistry(),
    )

    @AfterTest
    fun close() {
        server.close()
        listOf(transport, fleet).forEach { it.close() }
    }

    /** Answers each request with [answer] and closes its connection. */
    private fun serve(answer: String) = thread(isDaemon = true) {
        while (!server.isClosed) runCatching { server.accept().use { respond(it, answer) } }
    }

    private fun respond(socket: Socket, answer: String) {
        val input = socket.getInputStream().bufferedReader()
        generateSequence { input.readLine()?.takeIf(String::isNotEmpty) }.count()
        socket.getOutputStream().write(answer.encodeToByteArray())
    }

    private fun lastMessage(body: String, type: String = "text/event-stream"): PeerMessage {
        serve("HTTP/1.1 200 OK\r\nContent-Type: $type\r\n\r\n$body")
        val sidecar = fleet.sidecar("desk", "http://127.0.0.1:${server.localPort}", BOOKING, 2)
        fleet.publish()
        awaitUntil { sidecar.isReady }
        return runBlocking {
            val connection = transport.connect(sidecar.address).unwrap()
            connection.send(dispatch(connection.remote.incarnation))
            withTimeout(5.seconds) {
                var message: PeerMessage
                do {
                    message = connection.incoming.receive()
                } while (message !is ResponseEnd && message !is ResponseBroken)
                message
            }
        }
    }

    private fun dispatch(incarnation: Incarnation) = Dispatch(
        Attempt(RequestIdentifier("r1"), 1),
        incarnation,
        TeamName("repair"),
        BOOKING,
        Priority.NORMAL,
        remainingMilliseconds = 5_000,
        repeatable = false,
        Fingerprint(1),
        "GET",
        "/slots",
        emptyList(),
        Payload.of(""),
    )

    @Nested
    inner class Answers {
        @Test
        fun `that end inside an event are broken off`() {
            assertIs<ResponseBroken>(lastMessage("data: 1\n\ndata: 2\n"))
        }

        @Test
        fun `that end before their first event are broken off`() {
            assertIs<ResponseBroken>(lastMessage(": comment\n\n"))
        }

        @Test
        fun `that end between two events are complete`() {
            assertIs<ResponseEnd>(lastMessage("data: 1\n\ndata: 2\n\n"))
        }

        @Test
        fun `without events are complete when their connection ends`() {
            assertIs<ResponseEnd>(lastMessage("slot 1", type = "text/plain"))
        }
    }
}
