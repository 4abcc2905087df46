package org.hibiscusproxy.daemon.measurement

import java.io.BufferedInputStream
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread

/**
 * Target that streams the number of events given in the header `X-Tokens` at a fixed interval. Each
 * event carries the monotonic time at which it was written, from which a receiver in the same
 * process computes its delay.
 */
class PacedTarget(private val intervalNanoseconds: Long) : AutoCloseable {
    private val listener = ServerSocket(0, 1_000, InetAddress.getByName("127.0.0.1"))
    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val socket = listener.accept().apply { tcpNoDelay = true }
                    thread(isDaemon = true) { runCatching { socket.use(::serve) } }
                }
            }
        }
    }

    override fun close() = listener.close()

    private fun serve(socket: Socket) {
        val input = BufferedInputStream(socket.inputStream)
        val output = socket.outputStream
        while (true) {
            val head = input.readHead() ?: return
            input.readNBytes(head.headerNumber("content-length"))
            if (head.startsWith("POST /v1/chat")) {
                stream(output, head.headerNumber("x-tokens"))
            } else {
                output.text("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            }
        }
    }

    private fun stream(output: OutputStream, tokens: Int) {
        output.text(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                "Transfer-Encoding: chunked\r\n\r\n",
        )
        var next = System.nanoTime()
        repeat(tokens) {
            output.chunk("data: ${System.nanoTime()}\n\n")
            next += intervalNanoseconds
            LockSupport.parkNanos(next - System.nanoTime())
        }
        output.text("0\r\n\r\n")
    }

    private fun OutputStream.chunk(text: String) = text("${text.length.toString(16)}\r\n$text\r\n")

    private fun OutputStream.text(text: String) = write(text.encodeToByteArray())
}

/** Reads the message head including the empty line; null at the end of the connection. */
internal fun InputStream.readHead(): String? {
    val head = StringBuilder()
    while (!head.endsWith("\r\n\r\n")) {
        val byte = read()
        if (byte < 0) return null
        head.append(byte.toChar())
    }
    return head.toString()
}

/** Returns the number in the header [name], or 0 without such a header. */
internal fun String.headerNumber(name: String): Int =
    Regex("(?i)$name: *(\\d+)").find(this)?.groupValues?.get(1)?.toInt() ?: 0
