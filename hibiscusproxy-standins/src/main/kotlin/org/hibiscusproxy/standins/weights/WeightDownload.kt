package org.hibiscusproxy.standins.weights

import jakarta.servlet.AsyncContext
import jakarta.servlet.ServletOutputStream
import jakarta.servlet.WriteListener
import java.io.IOException

/**
 * A download of model weights. Writes up to its byte allowance with non-blocking I/O. All state is
 * guarded by the lock of this object.
 *
 * @param onWrite called with the number of bytes of each write
 * @param onClose called once, immediately before the response ends
 */
internal class WeightDownload(
    private val context: AsyncContext,
    private val size: Long,
    private val onWrite: (Int) -> Unit,
    private val onClose: (download: WeightDownload, isComplete: Boolean) -> Unit,
) : WriteListener {
    private val output: ServletOutputStream = context.response.outputStream
    private var isOutputReady = false
    private var allowance = 0L
    private var isClosed = false

    private var written = 0L

    /** Whether the client can receive bytes and the allowance is used up. */
    val isWaiting: Boolean
        @Synchronized get() = isOutputReady && allowance == 0L

    /** Increases the allowance by [bytes]. */
    @Synchronized
    fun addAllowance(bytes: Long) {
        allowance += bytes
        writePending()
    }

    @Synchronized
    override fun onWritePossible() {
        isOutputReady = true
        writePending()
    }

    override fun onError(failure: Throwable) = close()

    @Synchronized
    private fun close() {
        if (isClosed) return
        isClosed = true
        onClose(this, written == size)
        runCatching { context.complete() }
    }

    /** Also runs on the ticker thread, so exceptions of a broken connection must not escape. */
    private fun writePending() {
        try {
            writeWhileReady()
        } catch (failure: IOException) {
            close()
        } catch (failure: IllegalStateException) {
            close()
        }
    }

    private fun writeWhileReady() {
        while (isOutputReady && !isClosed) {
            if (written == size) {
                close()
                return
            }
            val count = minOf(allowance, size - written, BUFFER.size.toLong()).toInt()
            if (count == 0) return
            allowance -= count
            written += count
            onWrite(count)
            output.write(BUFFER, 0, count)
            isOutputReady = output.isReady
        }
    }

    private companion object {
        val BUFFER = ByteArray(16_384) { it.toByte() }
    }
}
