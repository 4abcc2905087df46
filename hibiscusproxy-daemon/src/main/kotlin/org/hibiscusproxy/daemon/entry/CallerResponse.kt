package org.hibiscusproxy.daemon.entry

import jakarta.servlet.ServletOutputStream
import jakarta.servlet.WriteListener
import jakarta.servlet.http.HttpServletRequest
import jakarta.servlet.http.HttpServletResponse
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.hibiscusproxy.protocol.Header

/**
 * Response to one caller, written without blocking. Bytes that the caller has not taken yet wait
 * in a bounded buffer; a caller that lets it overflow is cut off.
 *
 * The response's monitor guards its state and is held while Jetty's non-blocking methods are
 * called; Jetty calls back without locks of its own. [done] is completed without the monitor.
 */
internal class CallerResponse(
    request: HttpServletRequest,
    private val response: HttpServletResponse,
    private val bufferBytes: Int,
) : WriteListener {
    /** What became of bytes handed over. */
    enum class Accepted {
        /** They are sent or will be. */
        YES,

        /** The caller reads too slowly; the connection was ended. */
        SLOW_READER,

        /** The caller has gone. */
        GONE,
    }

    private enum class Ending { OPEN, COMPLETE, ABORTED }

    /** Kept from the beginning, because Jetty reuses its request objects after the end. */
    private val endPoint = ServletContextRequest.getServletContextRequest(request)
        .connectionMetaData.connection.endPoint
    private val isOver = AtomicBoolean()
    private val waiting = ArrayDeque<ByteArray>()
    private var waitingBytes = 0
    private var output: ServletOutputStream? = null
    private var canWrite = false
    private var needsFlush = false
    private var ending = Ending.OPEN

    /** Completes when nothing is left to do for the response. */
    val done: CompletableFuture<Unit> = CompletableFuture()

    /** Bytes of the body handed over so far. */
    @Volatile
    var relayedBytes: Long = 0
        private set

    /** Whether status and headers were handed over. */
    @Volatile
    var hasBegun: Boolean = false
        private set

    /** Whether the last bytes handed over ended a server-sent event. */
    @Volatile
    var endsAtEventBoundary: Boolean = true
        private set

    /** Whether the response is a stream of server-sent events. */
    val isEventStream: Boolean
        get() = response.contentType?.startsWith("text/event-stream") == true

    /** Sets status and headers. They go out with the first bytes or the end. */
    @Synchronized
    fun begin(status: Int, headers: List<Header>) {
        check(!hasBegun) { "the response has begun already" }
        hasBegun = true
        response.status = status
        headers.forEach { response.addHeader(it.name, it.value) }
        output = response.outputStream.also { it.setWriteListener(this) }
    }

    /** Hands [bytes] over. */
    fun write(bytes: ByteArray): Accepted {
        val accepted = synchronized(this) {
            when {
                ending != Ending.OPEN || isOver.get() -> Accepted.GONE

                waitingBytes + bytes.size > bufferBytes && waitingBytes > 0 -> {
                    ending = Ending.ABORTED
                    Accepted.SLOW_READER
                }

                else -> {
                    add(bytes)
                    Accepted.YES
                }
            }
        }
        if (accepted == Accepted.SLOW_READER) cutConnection()
        if (accepted == Accepted.YES) pump()
        return accepted
    }

    /** The response is complete. */
    fun end() {
        synchronized(this) {
            if (ending == Ending.OPEN) ending = Ending.COMPLETE
        }
        pump()
    }

    /** Ends the connection, so that the response does not look complete. */
    fun abort() {
        synchronized(this) { ending = Ending.ABORTED }
        cutConnection()
    }

    override fun onWritePossible() {
        synchronized(this) { canWrite = true }
        pump()
    }

    override fun onError(failure: Throwable) {
        synchronized(this) { ending = Ending.ABORTED }
        finish()
    }

    private fun add(bytes: ByteArray) {
        if (bytes.isEmpty()) return
        waiting.add(bytes)
        waitingBytes += bytes.size
        relayedBytes += bytes.size
        endsAtEventBoundary = bytes.size >= 2 &&
            bytes[bytes.size - 1] == LINE_FEED &&
            bytes[bytes.size - 2] == LINE_FEED
    }

    private fun pump() {
        val isFinished = try {
            writeWaiting()
        } catch (_: IOException) {
            synchronized(this) { ending = Ending.ABORTED }
            true
        }
        if (isFinished) finish()
    }

    /** Writes while Jetty takes bytes. Returns true when the response is finished. */
    @Synchronized
    private fun writeWaiting(): Boolean {
        val output = output ?: return ending != Ending.OPEN
        if (ending == Ending.ABORTED) return true
        while (canWrite) {
            if (!output.isReady) {
                canWrite = false
                return false
            }
            val next = waiting.removeFirstOrNull()
            when {
                next != null -> {
                    waitingBytes -= next.size
                    output.write(next)
                    needsFlush = true
                }

                ending == Ending.COMPLETE -> return true

                needsFlush -> {
                    needsFlush = false
                    output.flush()
                }

                else -> return false
            }
        }
        return false
    }

    private fun finish() {
        if (isOver.compareAndSet(false, true)) done.complete(Unit)
    }

    /** Does nothing after the end, when the connection may already serve the next request. */
    private fun cutConnection() {
        if (!isOver.compareAndSet(false, true)) return
        endPoint.close()
        done.complete(Unit)
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
    }
}
