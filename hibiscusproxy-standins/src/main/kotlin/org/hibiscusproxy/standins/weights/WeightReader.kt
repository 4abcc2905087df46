package org.hibiscusproxy.standins.weights

import jakarta.servlet.AsyncContext
import jakarta.servlet.ServletOutputStream
import jakarta.servlet.WriteListener
import java.io.IOException

/**
 * One download. Writes as many bytes as it is allowed without blocking a thread. Its lock guards
 * all its state.
 *
 * @param wrote called with the number of bytes of each write
 * @param gone called once, right before the response ends
 */
internal class WeightReader(
    private val context: AsyncContext,
    private val size: Long,
    private val wrote: (Int) -> Unit,
    private val gone: (reader: WeightReader, isComplete: Boolean) -> Unit,
) : WriteListener {
    private val output: ServletOutputStream = context.response.outputStream
    private var mayWrite = false
    private var allowance = 0L
    private var isClosed = false

    private var written = 0L

    /** Whether the caller can take bytes at present. */
    val isWaiting: Boolean
        @Synchronized get() = mayWrite && allowance == 0L

    /** Allows [bytes] more to be written. */
    @Synchronized
    fun allow(bytes: Long) {
        allowance += bytes
        pump()
    }

    @Synchronized
    override fun onWritePossible() {
        mayWrite = true
        pump()
    }

    override fun onError(failure: Throwable) = close()

    @Synchronized
    private fun close() {
        if (isClosed) return
        isClosed = true
        gone(this, written == size)
        runCatching { context.complete() }
    }

    /** Runs on the ticker's thread too, which a broken connection of one reader must not stop. */
    private fun pump() {
        try {
            writeAll()
        } catch (failure: IOException) {
            close()
        } catch (failure: IllegalStateException) {
            close()
        }
    }

    private fun writeAll() {
        while (mayWrite && !isClosed) {
            if (written == size) {
                close()
                return
            }
            val count = minOf(allowance, size - written, PART.size.toLong()).toInt()
            if (count == 0) return
            allowance -= count
            written += count
            wrote(count)
            output.write(PART, 0, count)
            mayWrite = output.isReady
        }
    }

    private companion object {
        val PART = ByteArray(16_384) { it.toByte() }
    }
}
