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

/** Guards against callers that get a part of an answer, or bytes that are none, as an answer. */
class IncompleteAnswerTest {
    private val fleet = TestFleet()
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
        .apply { receiveBufferSize = RECEIVE_BUFFER_BYTES }
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

    private fun serve(answer: String, delayMilliseconds: Long) = thread(isDaemon = true) {
        while (!server.isClosed) {
            runCatching { server.accept().use { respond(it, answer, delayMilliseconds) } }
        }
    }

    /** Answers without reading the request's body, and resets the connection. */
    private fun respond(socket: Socket, answer: String, delayMilliseconds: Long) {
        val head = StringBuilder()
        while ("\r\n\r\n" !in head) head.append(socket.getInputStream().read().toChar())
        socket.getOutputStream().write(answer.encodeToByteArray())
        Thread.sleep(delayMilliseconds)
        socket.setSoLinger(true, 0)
    }

    private fun lastMessages(answer: String, body: String, delayMilliseconds: Long = 0) =
        runBlocking {
            serve(answer, delayMilliseconds)
            val sidecar = fleet.sidecar("desk", "http://127.0.0.1:${server.localPort}", BOOKING, 2)
            fleet.publish()
            awaitUntil { sidecar.isReady }
            val connection = transport.connect(sidecar.address).unwrap()
            List(REPETITIONS) { number ->
                connection.send(dispatch(connection.remote.incarnation, number, body))
                withTimeout(10.seconds) {
                    var message: PeerMessage
                    do {
                        message = connection.incoming.receive()
                    } while (message !is ResponseEnd && message !is ResponseBroken)
                    message
                }
            }
        }

    private fun dispatch(incarnation: Incarnation, number: Int, body: String) = Dispatch(
        Attempt(RequestIdentifier("r$number"), 1),
        incarnation,
        TeamName("repair"),
        BOOKING,
        Priority.NORMAL,
        remainingMilliseconds = 5_000,
        repeatable = false,
        Fingerprint(number.toLong()),
        "POST",
        "/slots",
        emptyList(),
        Payload.of(body),
    )

    @Nested
    inner class `An answer without a length` {
        private val part = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nslot 1"

        @Test
        fun `that is reset at once while the request is being sent is broken off`() =
            lastMessages(part, UPLOAD).forEach { assertIs<ResponseBroken>(it) }

        @Test
        fun `that is reset later while the request is being sent is broken off`() =
            lastMessages(part, UPLOAD, delayMilliseconds = 200)
                .forEach { assertIs<ResponseBroken>(it) }
    }

    @Nested
    inner class `A status that HTTP does not define` {
        @Test
        fun `is a failure of the target`() =
            lastMessages("HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody", "body")
                .forEach { assertIs<ResponseBroken>(it) }
    }

    private companion object {
        const val REPETITIONS = 5
        const val RECEIVE_BUFFER_BYTES = 4_096

        /** More than the socket buffers on loopback hold. */
        val UPLOAD = "x".repeat(4_000_000)
    }
}
