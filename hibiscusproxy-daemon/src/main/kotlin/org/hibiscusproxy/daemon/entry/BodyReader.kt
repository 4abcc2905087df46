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

/** Reads one request's body without blocking, up to [limit] bytes. Jetty serialises the calls. */
internal class BodyReader(
    private val input: ServletInputStream,
    private val limit: Int,
    private val budget: BodyBudget,
) : ReadListener {
    private val bytes = ByteArrayOutputStream()
    private val reserved = AtomicInteger()
    private val step = ByteArray(STEP_BYTES)

    /** The whole body, or why there is none. */
    val body: CompletableDeferred<Result<ByteArray, CallerFailure>> = CompletableDeferred()

    override fun onDataAvailable() {
        while (!body.isCompleted && input.isReady) {
            val count = input.read(step)
            if (count < 0) return
            if (bytes.size() + count > limit) {
                body.complete(Err(CallerFailure.bodyTooLong(limit)))
                return
            }
            if (!budget.tryReserve(count)) {
                body.complete(Err(CallerFailure.bodiesExceedMemory()))
                return
            }
            reserved.addAndGet(count)
            bytes.write(step, 0, count)
        }
    }

    override fun onAllDataRead() {
        body.complete(Ok(bytes.toByteArray()))
    }

    override fun onError(failure: Throwable) {
        body.completeExceptionally(IOException("the caller left", failure))
    }

    /** The body is not needed any more. */
    fun release() {
        budget.release(reserved.getAndSet(0))
    }

    private companion object {
        const val STEP_BYTES = 16_384
    }
}
