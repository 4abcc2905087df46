package org.hibiscusproxy.standins.load

import java.io.IOException
import java.net.ConnectException
import java.time.Instant
import java.time.temporal.ChronoUnit
import java.util.concurrent.CompletableFuture
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.serialization.encodeToString
import okhttp3.Call
import okhttp3.Callback
import okhttp3.ConnectionPool
import okhttp3.ConnectionSpec
import okhttp3.Dispatcher
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.hibiscusproxy.standins.answers.Answer
import org.hibiscusproxy.standins.answers.ChatChunk
import org.hibiscusproxy.standins.answers.ChatRequest
import org.hibiscusproxy.standins.answers.ChatResponse
import org.hibiscusproxy.standins.answers.ErrorBody
import org.hibiscusproxy.standins.answers.promptOf
import org.hibiscusproxy.standins.answers.sha256
import org.hibiscusproxy.standins.answers.standInJson
import org.hibiscusproxy.standins.service.ServiceAnswer

/**
 * Open-loop HTTP client that sends requests without waiting for earlier ones and validates the
 * responses. Durations are measured from the planned arrival. The underlying HTTP client never
 * retries, so each call is one request; bookings are resent under their idempotency key only as
 * often as [LoadOptions.bookingResends] allows.
 */
class LoadClient(
    private val options: LoadOptions,
    private val runId: String,
    private val recorder: LoadRecorder,
    private val onFinished: (Arrival, RequestOutcome) -> Unit,
) : AutoCloseable {
    private val threads = ThreadPoolExecutor(
        maxOf(options.burst, MINIMUM_THREADS),
        Int.MAX_VALUE,
        IDLE_THREAD_SECONDS,
        TimeUnit.SECONDS,
        SynchronousQueue(),
    ) { task -> Thread(null, task, "caller", THREAD_STACK_BYTES).apply { isDaemon = true } }

    // Without TLS connection specs the client does not load the trust store.
    private val client = OkHttpClient.Builder()
        .dispatcher(
            Dispatcher(threads).apply {
                maxRequests = Int.MAX_VALUE
                maxRequestsPerHost = Int.MAX_VALUE
            },
        )
        .connectionPool(ConnectionPool(POOL_CONNECTIONS, POOL_KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
        .connectionSpecs(listOf(ConnectionSpec.CLEARTEXT))
        .retryOnConnectionFailure(false)
        .callTimeout((options.timeoutSeconds * 1_000).toLong(), TimeUnit.MILLISECONDS)
        .readTimeout(0, TimeUnit.SECONDS)
        .build()
    private val nextEntry = AtomicInteger()

    /** Builds the request for [arrival] in advance. */
    fun prepare(arrival: Arrival): PreparedCall = when (arrival) {
        is Arrival.ChatTurn -> ChatCall(arrival)
        is Arrival.Booking -> BookingCall(arrival)
    }

    /** Loads the client's classes and starts its threads, which would otherwise delay a burst. */
    fun warmUp() {
        threads.prestartAllCoreThreads()
        options.entries.forEach { runCatching { get("$it/health") } }
    }

    /** Response body of `GET` [url]. */
    fun get(url: String): String =
        client.newCall(Request.Builder().url(url).build()).execute().use { it.body.string() }

    override fun close() {
        threads.shutdownNow()
        client.connectionPool.evictAll()
    }

    /** Idempotency key of [booking]. */
    fun idempotencyKeyOf(booking: Arrival.Booking): String = "$runId-${booking.number}"

    /** Request identifier of [chatTurn]. */
    fun requestIdOf(chatTurn: Arrival.ChatTurn): String = "$runId-${chatTurn.chat}-${chatTurn.turn}"

    private fun entry(): String =
        options.entries[Math.floorMod(nextEntry.getAndIncrement(), options.entries.size)]

    /** A request that is ready to be sent. */
    abstract inner class PreparedCall(private val arrival: Arrival) : Callback {
        protected var dueNanoseconds: Long = 0
        protected abstract val request: Request
        protected var attempts: Int = 0
        private var mayHaveRun = false
        protected open val mayResend: Boolean get() = false

        /** Sends the request, which was planned for the monotonic time [dueNanoseconds]. */
        fun send(dueNanoseconds: Long) {
            this.dueNanoseconds = dueNanoseconds
            recorder.started(System.nanoTime() - dueNanoseconds)
            sendAttempt()
        }

        override fun onFailure(call: Call, e: IOException) = finish(
            if (e is ConnectException) {
                RequestOutcome.NotRun("connection-refused", requestId = null)
            } else {
                RequestOutcome.Lost(e.toString())
            },
        )

        override fun onResponse(call: Call, response: Response) = finish(
            try {
                response.use { if (it.isSuccessful) read(it) else outcomeOfError(it) }
            } catch (failure: IOException) {
                RequestOutcome.Broken(failure.toString())
            } catch (failure: IllegalArgumentException) {
                RequestOutcome.Wrong("invalid response: ${failure.message}")
            },
        )

        /** Validates the body of a successful response. */
        protected abstract fun read(response: Response): RequestOutcome

        private fun outcomeOfError(response: Response): RequestOutcome {
            val body = response.body.string()
            val error = runCatching { standInJson.decodeFromString<ErrorBody>(body).error }
                .getOrElse {
                    return RequestOutcome.Lost("${response.code} without an error body: $body")
                }
            val outcome = response.header(OUTCOME_HEADER)
            // Engines send no outcome header, but reject a request only before running it.
            val isRejectedByEngine = options.isDirect && response.code == SERVICE_UNAVAILABLE
            return when {
                outcome == "not-run" || isRejectedByEngine ->
                    RequestOutcome.NotRun(error.type, error.requestId)
                outcome == "unknown" -> RequestOutcome.Unknown(error.type)
                else -> RequestOutcome.Lost("${response.code} without outcome header: $body")
            }
        }

        private fun sendAttempt() {
            attempts++
            client.newCall(request).enqueue(this)
        }

        private fun finish(outcome: RequestOutcome) {
            val hasAnswer = outcome is RequestOutcome.Complete || outcome is RequestOutcome.Wrong
            mayHaveRun = mayHaveRun || (!hasAnswer && outcome !is RequestOutcome.NotRun)
            if (!hasAnswer && mayResend) {
                val executor =
                    CompletableFuture.delayedExecutor(
                        RESEND_DELAY_MILLISECONDS,
                        TimeUnit.MILLISECONDS,
                    )
                executor.execute(::sendAttempt)
                return
            }
            // The rejection of a resend says nothing about earlier requests with the same key.
            val finalOutcome = if (outcome is RequestOutcome.NotRun && mayHaveRun) {
                RequestOutcome.Unknown("resend rejected: ${outcome.type}")
            } else {
                outcome
            }
            recorder.finished(labelOf(arrival), finalOutcome)
            onFinished(arrival, finalOutcome)
        }
    }

    private inner class BookingCall(private val booking: Arrival.Booking) : PreparedCall(booking) {
        private val key = idempotencyKeyOf(booking)
        private val body = """{"booking": "$key", "team": "${booking.team}"}""".encodeToByteArray()
        override val mayResend: Boolean get() = attempts <= options.bookingResends
        override val request: Request get() = Request.Builder()
            .url("${entry()}/services/${options.bookingService}/bookings")
            .header("X-Team", booking.team)
            .header("Idempotency-Key", key)
            .post(body.toRequestBody(JSON))
            .build()

        override fun read(response: Response): RequestOutcome {
            val answer = standInJson.decodeFromString<ServiceAnswer>(response.body.string())
            recorder.booking.record(System.nanoTime() - dueNanoseconds)
            if (answer.idempotencyKey == key && answer.bodySha256 == body.sha256()) {
                return RequestOutcome.Complete(0, 0)
            }
            return RequestOutcome.Wrong("unexpected answer to booking $key: $answer")
        }
    }

    private inner class ChatCall(private val chatTurn: Arrival.ChatTurn) :
        PreparedCall(chatTurn) {
        private val answer = Answer.to(promptOf(chatTurn.messages))
        override val request: Request = Request.Builder()
            .url("${entry()}/v1/chat/completions")
            .header("X-Team", chatTurn.team)
            .header("X-Request-Id", requestIdOf(chatTurn))
            .apply { options.service?.let { header("X-Service", it) } }
            .post(standInJson.encodeToString(chat()).toRequestBody(JSON))
            .build()
        private var previousTokenNanoseconds = 0L

        override fun read(response: Response): RequestOutcome {
            val outcome = if (chatTurn.isStream) readStream(response) else readComplete(response)
            if (outcome is RequestOutcome.Complete) {
                recorder.whole.record(System.nanoTime() - dueNanoseconds)
            }
            return outcome
        }

        private fun chat() = ChatRequest(
            model = options.model,
            messages = chatTurn.messages,
            maximumTokens = options.answerTokens,
            stream = chatTurn.isStream,
        )

        private fun readComplete(response: Response): RequestOutcome {
            val completion = standInJson.decodeFromString<ChatResponse>(response.body.string())
            val content = completion.choices.firstOrNull()?.message?.content
            val expected = answer.text(options.answerTokens)
            if (content != expected) {
                return RequestOutcome.Wrong("content is '$content' instead of '$expected'")
            }
            val details = completion.usage.promptTokensDetails
            return RequestOutcome.Complete(completion.usage.promptTokens, details.cachedTokens)
        }

        private fun readStream(response: Response): RequestOutcome {
            val validator = StreamValidator(answer, options.answerTokens)
            val source = response.body.source()
            try {
                while (true) {
                    val line = source.readUtf8Line()
                        ?: return validator.outcome(hasEndMarker = false)
                    if (!line.startsWith(DATA_PREFIX)) continue
                    val data = line.substring(DATA_PREFIX.length).trim()
                    if (data == END_OF_STREAM) return validator.outcome(hasEndMarker = true)
                    if (data.startsWith(ERROR_PREFIX)) return validator.outcomeOfFailure(data)
                    val chunk = standInJson.decodeFromString<ChatChunk>(data)
                    if (validator.accept(chunk)) recordToken(chunk)
                }
            } catch (failure: IOException) {
                return validator.outcomeOfFailure(failure.toString())
            }
        }

        private fun recordToken(chunk: ChatChunk) {
            val now = System.nanoTime()
            val microseconds = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now())
            recorder.relayDelay.record(TimeUnit.MICROSECONDS.toNanos(microseconds - chunk.sentAt))
            if (previousTokenNanoseconds == 0L) {
                recorder.firstToken.record(now - dueNanoseconds)
            } else {
                recorder.betweenTokens.record(now - previousTokenNanoseconds)
            }
            previousTokenNanoseconds = now
        }
    }

    private fun labelOf(arrival: Arrival): String = when (arrival) {
        is Arrival.ChatTurn -> "chat ${arrival.chat} turn ${arrival.turn}"
        is Arrival.Booking -> "booking ${idempotencyKeyOf(arrival)}"
    }

    private companion object {
        const val MINIMUM_THREADS = 32
        const val IDLE_THREAD_SECONDS = 5L
        const val THREAD_STACK_BYTES = 262_144L
        const val RESEND_DELAY_MILLISECONDS = 400L
        const val POOL_CONNECTIONS = 1_024

        // Shorter than the servers' idle timeout, to avoid requests on a closing connection.
        const val POOL_KEEP_ALIVE_SECONDS = 10L
        const val SERVICE_UNAVAILABLE = 503
        const val DATA_PREFIX = "data:"
        const val ERROR_PREFIX = "{\"error\""
        const val END_OF_STREAM = "[DONE]"
        const val OUTCOME_HEADER = "X-Hibiscus-Outcome"
        val JSON = "application/json".toMediaType()
    }
}
