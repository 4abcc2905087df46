package org.hibiscusproxy.daemon.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import jakarta.servlet.ReadListener
import jakarta.servlet.ServletInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CompletableDeferred
import org.hibiscusproxy.daemon.BodyBudget

/** Reads one request's body without blocking, up to [limit] bytes. Jetty serializes the calls. */
internal class BodyReader(
    private val input: ServletInputStream,
    private val limit: Int,
    private val budget: BodyBudget,
) : ReadListener {
    private val received = ByteArrayOutputStream()
    private val reserved = AtomicInteger()
    private val readBuffer = ByteArray(READ_BUFFER_BYTES)

    /** The complete body, or the reason why it could not be read. */
    val body: CompletableDeferred<Result<ByteArray, CallerFailure>> = CompletableDeferred()

    override fun onDataAvailable() {
        while (!body.isCompleted && input.isReady) {
            val count = input.read(readBuffer)
            if (count < 0) return
            if (received.size() + count > limit) {
                body.complete(Err(CallerFailure.bodyTooLong(limit)))
                return
            }
            if (!budget.tryReserve(count)) {
                body.complete(Err(CallerFailure.bodiesExceedMemory()))
                return
            }
            reserved.addAndGet(count)
            received.write(readBuffer, 0, count)
        }
    }

    override fun onAllDataRead() {
        body.complete(Ok(received.toByteArray()))
    }

    override fun onError(failure: Throwable) {
        body.completeExceptionally(
            IOException("caller disconnected before its request body was read", failure),
        )
    }

    /** Returns the memory of the body to the budget. */
    fun release() {
        budget.release(reserved.getAndSet(0))
    }

    private companion object {
        const val READ_BUFFER_BYTES = 16_384
    }
}
