package org.hibiscusproxy.daemon.forwarding

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource
import org.hibiscusproxy.model.NetworkAddress

/** Records each request that it receives, and passes it with its connection to [answer]. */
internal class RecordingTarget(private val answer: (ReceivedRequest, Socket) -> Unit) :
    AutoCloseable {
    private val server = ServerSocket(0, 500, InetAddress.getLoopbackAddress())
    val address = NetworkAddress("127.0.0.1", server.localPort)
    val requests = CopyOnWriteArrayList<ReceivedRequest>()
    private val openSockets = CopyOnWriteArrayList<Socket>()

    /** Bytes that arrived, also those of incomplete requests. */
    @Volatile
    var receivedBytes = 0L
        private set

    /** Whether new connections are closed at once. */
    @Volatile
    var isRejecting = false

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                openSockets += socket
                thread(isDaemon = true) { runCatching { socket.use(::serve) } }
            }
        }
    }

    /** Closes the connections that are open; the listener stays. */
    fun closeConnections() {
        openSockets.forEach { it.close() }
        openSockets.clear()
    }

    private fun serve(socket: Socket) {
        while (!isRejecting) {
            val headers = readHead(socket.getInputStream())
            socket.getInputStream().readNBytes(headers["content-length"]?.toInt() ?: 0)
            val request = ReceivedRequest(headers, TimeSource.Monotonic.markNow())
            requests += request
            answer(request, socket)
        }
    }

    private fun readHead(input: InputStream): Map<String, String> {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            check(byte >= 0) { "connection closed" }
            receivedBytes += 1
            head.append(byte.toChar())
        }
        return head.lines().filter { ": " in it }
            .associate { it.substringBefore(": ").lowercase() to it.substringAfter(": ") }
    }

    override fun close() = server.close()
}

/** A request of the forwarder with its [headers], by names in lowercase. */
internal class ReceivedRequest(
    private val headers: Map<String, String>,
    val arrivedAt: ComparableTimeMark,
) {
    val identifier: String get() = headers.getValue("x-request-id")
    val deadlineMilliseconds: Long get() = headers.getValue("x-deadline-ms").toLong()
}

private const val EVENT = "id: 1\ndata: ok\n\n"

/** Writes a complete answer to [request], one event, with [status] and the [extra] header lines. */
internal fun Socket.respond(request: ReceivedRequest, status: Int = 200, extra: String = "") {
    val head = "HTTP/1.1 $status Any\r\nX-Request-Id: ${request.identifier}\r\n$extra"
    val length = "Content-Length: ${EVENT.length}\r\n\r\n"
    getOutputStream().write((head + length + EVENT).encodeToByteArray())
}
