package org.hibiscusproxy.daemon.forwarding

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.TestTimeSource
import org.hibiscusproxy.forwarding.RequestKind
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ServiceName
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested

/**
 * Guards against repeats that the retry limit does not count although an earlier target got part of
 * the request. The forwarder has no retries, as its time stands still.
 */
class FreeRepeatTest {
    private val fixture = ForwarderFixture(retrySlack = 0.0, TestTimeSource())
    private val closed = ArrayList<AutoCloseable>()
    private val other = RecordingTarget { request, socket -> socket.respond(request) }

    @AfterEach
    fun close() {
        fixture.close()
        other.close()
        closed.forEach { it.close() }
    }

    /** Routes to a target at [first] and to one that answers. */
    private fun routeTo(first: NetworkAddress) = fixture.route(
        RequestKind.SAFE,
        mapOf(ServiceName("orders") to listOf(first, other.address)),
        maximumTargets = 2,
    )

    private fun target(answer: (ReceivedRequest, Socket) -> Unit) =
        RecordingTarget(answer).also { closed += it }

    /** Sends requests until some of them were sent to the first target. */
    private fun statuses(prefix: String) = List(REQUESTS) { fixture.exchange("$prefix-$it") }

    private fun assertNoneRepeated(first: RecordingTarget, statuses: List<String>) {
        val reached = first.requests.map { it.identifier }.toSet()
        assertTrue(reached.isNotEmpty(), "no request reached the first target")
        assertEquals(emptySet(), reached intersect other.requests.map { it.identifier }.toSet())
        assertEquals(reached.size, statuses.count { "502" in it }, "$statuses")
    }

    @Nested
    inner class Requests {
        @Test
        fun `are repeated freely if no connection can be established`() {
            val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
            routeTo(NetworkAddress("127.0.0.1", port))
            assertTrue(statuses("unreachable").all { "200" in it })
        }

        @Test
        fun `are not if the target closes a new connection after it got the request`() {
            val first = target { _, socket -> socket.close() }
            routeTo(first.address)
            assertNoneRepeated(first, statuses("closed"))
        }

        @Test
        fun `are not if the target closes a kept connection after it got the request`() {
            val used = HashSet<Socket>()
            val first = target { request, socket ->
                if (synchronized(used) {
                        used.add(socket)
                    }
                ) {
                    socket.respond(request)
                } else {
                    socket.close()
                }
            }
            routeTo(first.address)
            val statuses = statuses("kept")
            val broken = first.requests.map { it.identifier }
                .filter { it !in other.requests.map { request -> request.identifier } }
            assertEquals(first.requests.size, broken.size)
            assertTrue(statuses.any { "502" in it }, "$statuses")
        }

        @Test
        fun `are not if their write is queued behind a full buffer when the target closes`() {
            val received = HashSet<String>()
            val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress()).also { closed += it }
            thread(isDaemon = true) {
                while (!server.isClosed) {
                    val socket = runCatching { server.accept() }.getOrNull() ?: break
                    val head = String(socket.getInputStream().readNBytes(HEAD_BYTES))
                    val identifier = head.substringAfter("X-Request-Id: ").substringBefore("\r")
                    synchronized(received) { received += identifier }
                    socket.close()
                }
            }
            routeTo(NetworkAddress("127.0.0.1", server.localPort))
            repeat(REQUESTS) { index ->
                fixture.connect().use {
                    it.write(ForwarderFixture.head("big-$index", "Content-Length: $BODY_BYTES\r\n"))
                    it.getOutputStream().write(ByteArray(BODY_BYTES))
                    it.getInputStream().bufferedReader().readLine()
                }
            }
            val reached = synchronized(received) { received.toSet() }
            assertTrue(reached.isNotEmpty(), "no request reached the first target")
            val repeated = other.requests.map { it.identifier }.toSet()
            assertEquals(emptySet(), reached intersect repeated)
        }
    }

    @Nested
    inner class `A refusal` {
        @Test
        fun `counts as an arrival, so its request is not repeated freely`() {
            val first = target { request, socket ->
                socket.respond(request, status = 503, extra = "X-Not-Executed: 1\r\n")
            }
            routeTo(first.address)
            statuses("refused")
            val reached = first.requests.map { it.identifier }.toSet()
            assertContains(1..REQUESTS, reached.size)
            assertEquals(emptySet(), reached intersect other.requests.map { it.identifier }.toSet())
        }
    }

    private companion object {
        const val REQUESTS = 12
        const val HEAD_BYTES = 200
        const val BODY_BYTES = 4_000_000
    }
}
