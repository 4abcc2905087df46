package org.hibiscusproxy.daemon.sidecar

import java.io.IOException
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlinx.coroutines.runBlocking
import okhttp3.Call
import okhttp3.EventListener
import okhttp3.Headers
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.Interceptor
import okhttp3.OkHttpClient
import okhttp3.Protocol
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.hibiscusproxy.daemon.EventBoundary
import org.hibiscusproxy.daemon.withoutConnectionReuse
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Header
import org.hibiscusproxy.protocol.NotRunReason
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.ResponseChunk
import org.hibiscusproxy.protocol.ResponseHead

/** Outcome of a call to the target. */
internal sealed class CallOutcome {
    /** The answer is complete after [chunks] chunks. */
    data class Complete(val chunks: Int) : CallOutcome()

    /** No byte was sent to the target. */
    data class NotRun(val reason: NotRunReason) : CallOutcome()

    /** The connection to the entry was lost, so the answer cannot be delivered. */
    data object EntryDisconnected : CallOutcome()

    /** The call was stopped, or the target was lost after it may have received the request. */
    data class Broken(val cause: Exception) : CallOutcome()
}

/**
 * HTTP client of one target. Each call uses one thread with a small stack while it reads the
 * answer. Chunks are sent to the entry as they arrive; a full connection blocks the thread, which
 * applies backpressure to the target. Redirects and OkHttp's automatic retries are off, because a
 * resend could run a request twice. No connection carries two calls, because targets may repeat an
 * answer late and need not name the request that an answer belongs to.
 *
 * @param confirm final check before the first byte, which returns the reason not to run
 * @param firstByte called when the first byte of the answer's body arrives
 */
internal class TargetClient(
    target: TargetName,
    targetUrl: String,
    private val confirm: (SidecarAttempt) -> NotRunReason?,
    private val firstByte: (SidecarAttempt) -> Unit,
) : AutoCloseable {
    private val targetHeader = Header(TARGET_HEADER, target.value)
    private val base = targetUrl.trimEnd('/').also { it.toHttpUrl() }
    private val threadNumbers = AtomicInteger()
    private val threads = ThreadPoolExecutor(
        0,
        MAXIMUM_THREADS,
        IDLE_THREAD_SECONDS,
        TimeUnit.SECONDS,
        SynchronousQueue(),
    ) { work ->
        Thread(null, work, "target-call-${threadNumbers.incrementAndGet()}", STACK_BYTES)
            .apply { isDaemon = true }
    }

    private val client = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .protocols(listOf(Protocol.HTTP_1_1))
        .connectTimeout(CONNECT_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
        .readTimeout(0, TimeUnit.MILLISECONDS)
        .writeTimeout(0, TimeUnit.MILLISECONDS)
        .withoutConnectionReuse()
        .addNetworkInterceptor(::confirmAndProceed)
        .eventListener(RequestFailureListener)
        .build()

    /** Runs the call for [attempt] on a pool thread and reports the result to [onOutcome]. */
    fun start(attempt: SidecarAttempt, onOutcome: (CallOutcome) -> Unit) {
        try {
            threads.execute { onOutcome(call(attempt)) }
        } catch (_: RejectedExecutionException) {
            onOutcome(CallOutcome.NotRun(NotRunReason.OVERLOADED))
        }
    }

    /** Runs [work] on a pool thread, or drops it if none is free. */
    fun runInBackground(work: () -> Unit) {
        try {
            threads.execute(work)
        } catch (_: RejectedExecutionException) {
            return
        }
    }

    /** Sends a request without an attempt. Returns the body, or null on any failure. */
    fun fetch(method: String, path: String, timeout: Duration): String? {
        val body = if (method == "GET") null else RequestBody.EMPTY
        val request = Request.Builder().url((base + path).toHttpUrl()).method(method, body).build()
        val call = client.newCall(request)
        call.timeout().timeout(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return try {
            call.execute().use { if (it.isSuccessful) it.body.string() else null }
        } catch (_: IOException) {
            null
        }
    }

    override fun close() {
        threads.shutdownNow()
    }

    private fun call(attempt: SidecarAttempt): CallOutcome {
        val request = try {
            request(attempt)
        } catch (_: IllegalArgumentException) {
            return CallOutcome.NotRun(NotRunReason.TARGET_UNREACHABLE)
        }
        val remaining = attempt.remaining.inWholeMilliseconds
        if (remaining <= 0) return CallOutcome.NotRun(NotRunReason.DEADLINE)
        val call = client.newCall(request)
        // Rounded up, as a timeout before the deadline would be taken for the loss of the target.
        call.timeout().timeout(remaining + 1, TimeUnit.MILLISECONDS)
        if (!attempt.attach(call)) return CallOutcome.NotRun(NotRunReason.CANCELLED)
        return try {
            call.execute().use { relay(attempt, it) }
        } catch (failure: Exception) {
            if (attempt.mayHaveRun) CallOutcome.Broken(failure) else notRun(attempt)
        }
    }

    private fun notRun(attempt: SidecarAttempt): CallOutcome = CallOutcome.NotRun(
        attempt.refusal ?: when {
            attempt.stopReason != null -> NotRunReason.CANCELLED
            attempt.remaining <= Duration.ZERO -> NotRunReason.DEADLINE
            else -> NotRunReason.TARGET_UNREACHABLE
        },
    )

    /** Runs on the open connection to the target, before the first byte of the request. */
    private fun confirmAndProceed(chain: Interceptor.Chain): Response {
        val attempt = chain.request().tag(SidecarAttempt::class.java)
        if (attempt != null) {
            attempt.refusal = confirm(attempt)
            attempt.refusal?.let { throw IOException("attempt refused before it was sent: $it") }
            attempt.mayHaveRun = true
        }
        return chain.proceed(chain.request()).withHiddenRetryAfter()
    }

    private fun request(attempt: SidecarAttempt): Request {
        val dispatch = attempt.dispatch
        val headers = Headers.Builder()
        dispatch.headers.forEach { headers.addUnsafeNonAscii(it.name, it.value) }
        if (headers["Accept-Encoding"] == null) headers["Accept-Encoding"] = "identity"
        val body = dispatch.body.bytes.toRequestBody()
            .takeIf { dispatch.method != "GET" && dispatch.method != "HEAD" }
        return Request.Builder()
            .url((base + dispatch.path).toHttpUrl())
            .headers(headers.build())
            .method(dispatch.method, body)
            .tag(SidecarAttempt::class.java, attempt)
            .build()
    }

    private fun relay(attempt: SidecarAttempt, response: Response): CallOutcome {
        if (response.code !in DEFINED_STATUSES) {
            return CallOutcome.Broken(IOException("status ${response.code} is not defined"))
        }
        val headers = response.endToEndHeaders() + targetHeader
        val head = ResponseHead(attempt.attempt, response.code, headers)
        if (!runBlocking {
                attempt.connection.send(head)
            }.isOk
        ) {
            return CallOutcome.EntryDisconnected
        }
        return relayBody(attempt, response)
    }

    private fun relayBody(attempt: SidecarAttempt, response: Response): CallOutcome {
        val source = response.body.source()
        val boundary = if (response.isEventStream) EventBoundary() else null
        var chunks = 0
        while (source.request(1)) {
            if (chunks == 0) firstByte(attempt)
            val bytes = source.buffer.readByteArray()
            boundary?.let { bytes.forEach(it::append) }
            val chunk = ResponseChunk(attempt.attempt, chunks++, Payload(bytes))
            if (!runBlocking {
                    attempt.connection.send(chunk)
                }.isOk
            ) {
                return CallOutcome.EntryDisconnected
            }
        }
        // A call that is cancelled or times out during the read may appear to end normally.
        if (attempt.isCancelledOrExpired) {
            return CallOutcome.Broken(
                IOException("call cancelled or deadline passed while the answer was read"),
            )
        }
        if (boundary != null && response.isInterrupted(boundary)) {
            return CallOutcome.Broken(IOException("stream ended within an event"))
        }
        // The failed write took the connection's error, so that the reset reads as a regular end.
        if (attempt.isRequestIncomplete && response.endsWithConnection) {
            return CallOutcome.Broken(
                IOException("connection lost while the request was being sent"),
            )
        }
        return CallOutcome.Complete(chunks)
    }

    private val Response.isEventStream: Boolean
        get() = header(CONTENT_TYPE).orEmpty().startsWith(EVENT_STREAM, ignoreCase = true)

    /** Without an event, the end of the connection does not tell a whole stream from a broken one. */
    private fun Response.isInterrupted(boundary: EventBoundary): Boolean {
        if (boundary.isWithinEvent) return true
        return isSuccessful && endsWithConnection && !boundary.hasEvent
    }

    private val Response.endsWithConnection: Boolean
        get() {
            val isChunked = header(TRANSFER_ENCODING).equals("chunked", ignoreCase = true)
            return header(CONTENT_LENGTH) == null && !isChunked
        }

    /**
     * OkHttp resends a request after a 503 with `Retry-After: 0`, whatever its settings, so the
     * header is renamed until OkHttp has returned the response.
     */
    private fun Response.withHiddenRetryAfter(): Response {
        val value = header(RETRY_AFTER) ?: return this
        return newBuilder()
            .removeHeader(RETRY_AFTER)
            .addHeader(HIDDEN_RETRY_AFTER, value)
            .build()
    }

    private fun Response.endToEndHeaders(): List<Header> = headers
        .filterNot { (name, _) -> name.lowercase() in HOP_BY_HOP }
        .map { (name, value) ->
            Header(
                if (name ==
                    HIDDEN_RETRY_AFTER
                ) {
                    RETRY_AFTER
                } else {
                    name
                },
                value,
            )
        }

    /** Marks attempts whose request could not be sent completely; OkHttp then reads an answer. */
    private object RequestFailureListener : EventListener() {
        override fun requestFailed(call: Call, ioe: IOException) {
            call.request().tag(SidecarAttempt::class.java)?.isRequestIncomplete = true
        }
    }

    private companion object {
        /** Names the target that answered, for support and measurements. */
        const val TARGET_HEADER = "X-Hibiscus-Target"
        const val RETRY_AFTER = "Retry-After"
        const val CONTENT_TYPE = "Content-Type"
        const val CONTENT_LENGTH = "Content-Length"
        const val TRANSFER_ENCODING = "Transfer-Encoding"
        const val EVENT_STREAM = "text/event-stream"
        const val HIDDEN_RETRY_AFTER = "X-Hibiscus-Hidden-Retry-After"
        val DEFINED_STATUSES = 200..599
        const val MAXIMUM_THREADS = 512
        const val IDLE_THREAD_SECONDS = 10L
        const val STACK_BYTES = 262_144L
        const val CONNECT_TIMEOUT_MILLISECONDS = 1_000L
        val HOP_BY_HOP =
            setOf("connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade")
    }
}
