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
 * Response to one caller, written without blocking. Bytes that the caller has not read yet are
 * kept in a bounded buffer; when it overflows, the connection is closed.
 *
 * The response's monitor guards its state and is held while Jetty's non-blocking methods are
 * called; Jetty holds no locks when it calls back. [done] is completed without the monitor.
 */
internal class CallerResponse(
    request: HttpServletRequest,
    private val response: HttpServletResponse,
    private val bufferBytes: Int,
) : WriteListener {
    /** Result of [write]. */
    enum class WriteResult {
        /** The bytes were sent or buffered. */
        ACCEPTED,

        /** The buffer overflowed because the caller reads too slowly; the connection was closed. */
        SLOW_READER,

        /** The caller has disconnected. */
        DISCONNECTED,
    }

    private enum class State { OPEN, COMPLETE, ABORTED }

    /** Obtained at construction, because Jetty reuses request objects after the response. */
    private val endPoint = ServletContextRequest.getServletContextRequest(request)
        .connectionMetaData.connection.endPoint
    private val isFinished = AtomicBoolean()
    private val pending = ArrayDeque<ByteArray>()
    private var pendingBytes = 0
    private var output: ServletOutputStream? = null
    private var canWrite = false
    private var needsFlush = false
    private var state = State.OPEN

    /** Completes when the response has been written or aborted. */
    val done: CompletableFuture<Unit> = CompletableFuture()

    /** Bytes of the body accepted by [write]. */
    @Volatile
    var relayedBytes: Long = 0
        private set

    /** Whether [begin] was called. */
    @Volatile
    var hasBegun: Boolean = false
        private set

    /** Whether the last bytes accepted by [write] ended a server-sent event. */
    @Volatile
    var endsAtEventBoundary: Boolean = true
        private set

    /** Whether the response is a stream of server-sent events. */
    val isEventStream: Boolean
        get() = response.contentType?.startsWith("text/event-stream") == true

    /** Sets status and headers. They are sent with the first bytes or at [end]. */
    @Synchronized
    fun begin(status: Int, headers: List<Header>) {
        check(!hasBegun) { "response already started" }
        hasBegun = true
        response.status = status
        headers.forEach { response.addHeader(it.name, it.value) }
        output = response.outputStream.also { it.setWriteListener(this) }
    }

    /** Sends [bytes] or buffers them until the caller can receive them. */
    fun write(bytes: ByteArray): WriteResult {
        val result = synchronized(this) {
            when {
                state != State.OPEN || isFinished.get() -> WriteResult.DISCONNECTED

                pendingBytes + bytes.size > bufferBytes && pendingBytes > 0 -> {
                    state = State.ABORTED
                    WriteResult.SLOW_READER
                }

                else -> {
                    add(bytes)
                    WriteResult.ACCEPTED
                }
            }
        }
        if (result == WriteResult.SLOW_READER) closeConnection()
        if (result == WriteResult.ACCEPTED) flushPending()
        return result
    }

    /** Completes the response after all pending bytes. */
    fun end() {
        synchronized(this) {
            if (state == State.OPEN) state = State.COMPLETE
        }
        flushPending()
    }

    /** Closes the connection, so that the response does not appear complete. */
    fun abort() {
        synchronized(this) { state = State.ABORTED }
        closeConnection()
    }

    override fun onWritePossible() {
        synchronized(this) { canWrite = true }
        flushPending()
    }

    override fun onError(failure: Throwable) {
        synchronized(this) { state = State.ABORTED }
        finish()
    }

    private fun add(bytes: ByteArray) {
        if (bytes.isEmpty()) return
        pending.add(bytes)
        pendingBytes += bytes.size
        relayedBytes += bytes.size
        endsAtEventBoundary = bytes.size >= 2 &&
            bytes[bytes.size - 1] == LINE_FEED &&
            bytes[bytes.size - 2] == LINE_FEED
    }

    private fun flushPending() {
        val isComplete = try {
            writePending()
        } catch (_: IOException) {
            synchronized(this) { state = State.ABORTED }
            true
        }
        if (isComplete) finish()
    }

    /** Writes as long as Jetty accepts bytes. Returns true when the response is finished. */
    @Synchronized
    private fun writePending(): Boolean {
        val output = output ?: return state != State.OPEN
        if (state == State.ABORTED) return true
        while (canWrite) {
            if (!output.isReady) {
                canWrite = false
                return false
            }
            val next = pending.removeFirstOrNull()
            when {
                next != null -> {
                    pendingBytes -= next.size
                    output.write(next)
                    needsFlush = true
                }

                state == State.COMPLETE -> return true

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
        if (isFinished.compareAndSet(false, true)) done.complete(Unit)
    }

    /** No-op after the response ended, as the connection may already serve the next request. */
    private fun closeConnection() {
        if (!isFinished.compareAndSet(false, true)) return
        endPoint.close()
        done.complete(Unit)
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
    }
}
