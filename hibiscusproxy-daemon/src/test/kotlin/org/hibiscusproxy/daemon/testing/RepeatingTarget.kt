package org.hibiscusproxy.daemon.testing

import java.io.BufferedReader
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import org.hibiscusproxy.model.NetworkAddress

/**
 * HTTP server that answers a request with [body] of its path, and before the next answer on the
 * same connection repeats the one before. Reports of load are refused on connections of their own.
 *
 * @param repeatsAtOnce whether the copy is sent together with the answer instead
 */
class RepeatingTarget(
    private val repeatsAtOnce: Boolean = false,
    private val body: (String) -> String = { it },
) : AutoCloseable {
    private class Connection(val socket: Socket) {
        var pendingCopy = ByteArray(0)

        @Synchronized
        fun write(bytes: ByteArray) = socket.getOutputStream().write(bytes)

        /** Sends the next [count] bytes of the copy. */
        @Synchronized
        fun repeat(count: Int) {
            write(pendingCopy.copyOfRange(0, count))
            pendingCopy = pendingCopy.copyOfRange(count, pendingCopy.size)
        }
    }

    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val answered = CopyOnWriteArrayList<Connection>()
    private val open = AtomicInteger()
    val address = NetworkAddress("127.0.0.1", server.localPort)
    val url = "http://$address"

    /** Paths of the answered requests. */
    val paths = CopyOnWriteArrayList<String>()

    /** Number of connections that the client has not closed. */
    val openConnections: Int get() = open.get()

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                open.incrementAndGet()
                thread(isDaemon = true) {
                    runCatching { socket.use { serve(Connection(it)) } }
                    open.decrementAndGet()
                }
            }
        }
    }

    /** Sends [percent] of the copy of the first answer while no request is pending. */
    fun repeatWhileIdle(percent: Int) {
        val connection = answered.first()
        // The client may have closed the connection.
        runCatching { connection.repeat(connection.pendingCopy.size * percent / 100) }
    }

    private fun serve(connection: Connection) {
        val input = connection.socket.getInputStream().bufferedReader()
        while (true) {
            val path = readPath(input) ?: return
            if (path == "/load") {
                connection.write(message("404 Not Found", "", "Connection: close\r\n"))
                return
            }
            connection.repeat(connection.pendingCopy.size)
            val answer = message("200 OK", body(path))
            connection.pendingCopy = answer
            answered += connection
            paths += path
            connection.write(if (repeatsAtOnce) answer + answer else answer)
        }
    }

    private fun readPath(input: BufferedReader): String? {
        val requestLine = input.readLine() ?: return null
        val headers = generateSequence { input.readLine()?.takeIf(String::isNotEmpty) }.toList()
        val length = headers.firstOrNull { it.startsWith("Content-Length:", ignoreCase = true) }
        repeat(length?.substringAfter(':')?.trim()?.toInt() ?: 0) { input.read() }
        return requestLine.split(' ')[1]
    }

    private fun message(status: String, body: String, headers: String = "") =
        "HTTP/1.1 $status\r\n${headers}Content-Length: ${body.length}\r\n\r\n$body"
            .encodeToByteArray()

    override fun close() = server.close()
}
