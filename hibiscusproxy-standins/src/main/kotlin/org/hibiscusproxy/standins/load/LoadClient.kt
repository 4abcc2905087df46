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
 * Sends arrivals without waiting for earlier ones and judges the answers. Times count from the
 * planned arrival. The client itself never resends, so that each call is one request; bookings are
 * sent again under their key when the options say so.
 */
class LoadClient(
    private val options: LoadOptions,
    private val runId: String,
    private val recorder: LoadRecorder,
    private val finished: (Arrival, RequestOutcome) -> Unit,
) : AutoCloseable {
    private val threads = ThreadPoolExecutor(
        maxOf(options.burst, MINIMUM_THREADS),
        Int.MAX_VALUE,
        IDLE_THREAD_SECONDS,
        TimeUnit.SECONDS,
        SynchronousQueue(),
    ) { task -> Thread(null, task, "caller", THREAD_STACK_BYTES).apply { isDaemon = true } }

    // Without TLS specifications the client does not load certificates.
    private val client = OkHttpClient.Builder()
        .dispatcher(
            Dispatcher(threads).apply {
                maxRequests = Int.MAX_VALUE
                maxRequestsPerHost = Int.MAX_VALUE
            },
        )
        .connectionPool(ConnectionPool(POOLED_CONNECTIONS, POOLED_SECONDS, TimeUnit.SECONDS))
        .connectionSpecs(listOf(ConnectionSpec.CLEARTEXT))
        .retryOnConnectionFailure(false)
        .callTimeout((options.timeoutSeconds * 1_000).toLong(), TimeUnit.MILLISECONDS)
        .readTimeout(0, TimeUnit.SECONDS)
        .build()
    private val nextEntry = AtomicInteger()

    /** Builds the request of [arrival] ahead of time. */
    fun prepare(arrival: Arrival): PreparedCall = when (arrival) {
        is Arrival.ChatTurn -> ChatCall(arrival)
        is Arrival.Booking -> BookingCall(arrival)
    }

    /** Loads the client's classes and starts its threads, which would delay a burst's start. */
    fun warmUp() {
        threads.prestartAllCoreThreads()
        options.entries.forEach { runCatching { get("$it/health") } }
    }

    /** Body of `GET` [url]. */
    fun get(url: String): String =
        client.newCall(Request.Builder().url(url).build()).execute().use { it.body.string() }

    override fun close() {
        threads.shutdownNow()
        client.connectionPool.evictAll()
    }

    /** Key under which [booking] is sent. */
    fun keyOf(booking: Arrival.Booking): String = "$runId-${booking.number}"

    /** Request identifier sent with [question]. */
    fun requestIdOf(question: Arrival.ChatTurn): String = "$runId-${question.chat}-${question.turn}"

    private fun entry(): String =
        options.entries[Math.floorMod(nextEntry.getAndIncrement(), options.entries.size)]

    /** One request that is ready to be sent. */
    abstract inner class PreparedCall(private val arrival: Arrival) : Callback {
        protected var dueNanoseconds: Long = 0
        protected abstract val request: Request
        protected var sent: Int = 0
        private var mayHaveRun = false
        protected open val mayResend: Boolean get() = false

        /** Sends the request, which was due at the monotonic time [dueNanoseconds]. */
        fun send(dueNanoseconds: Long) {
            this.dueNanoseconds = dueNanoseconds
            recorder.started(System.nanoTime() - dueNanoseconds)
            sendNow()
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
                response.use { if (it.isSuccessful) read(it) else refusal(it) }
            } catch (failure: IOException) {
                RequestOutcome.Broken(failure.toString())
            } catch (failure: IllegalArgumentException) {
                RequestOutcome.Wrong("not readable: ${failure.message}")
            },
        )

        /** Judges the body of a successful response. */
        protected abstract fun read(response: Response): RequestOutcome

        private fun refusal(response: Response): RequestOutcome {
            val body = response.body.string()
            val error = runCatching { standInJson.decodeFromString<ErrorBody>(body).error }
                .getOrElse { return RequestOutcome.Lost("${response.code} without error: $body") }
            val outcome = response.header(OUTCOME_HEADER)
            // Engines know nothing of the fleet's outcomes, but refuse before they run anything.
            val isEngineRefusal = options.isDirect && response.code == UNAVAILABLE
            return when {
                outcome == "not-run" || isEngineRefusal ->
                    RequestOutcome.NotRun(error.type, error.requestId)
                outcome == "unknown" -> RequestOutcome.Unknown(error.type)
                else -> RequestOutcome.Lost("${response.code} without outcome: $body")
            }
        }

        private fun sendNow() {
            sent++
            client.newCall(request).enqueue(this)
        }

        private fun finish(outcome: RequestOutcome) {
            val isAnswered = outcome is RequestOutcome.Complete || outcome is RequestOutcome.Wrong
            mayHaveRun = mayHaveRun || (!isAnswered && outcome !is RequestOutcome.NotRun)
            if (!isAnswered && mayResend) {
                val later =
                    CompletableFuture.delayedExecutor(RESEND_MILLISECONDS, TimeUnit.MILLISECONDS)
                later.execute(::sendNow)
                return
            }
            // The refusal of a resend says nothing about an earlier request under the same key.
            val judged = if (outcome is RequestOutcome.NotRun && mayHaveRun) {
                RequestOutcome.Unknown("resend refused: ${outcome.type}")
            } else {
                outcome
            }
            recorder.finished(labelOf(arrival), judged)
            finished(arrival, judged)
        }
    }

    private inner class BookingCall(private val booking: Arrival.Booking) : PreparedCall(booking) {
        private val key = keyOf(booking)
        private val body = """{"booking": "$key", "team": "${booking.team}"}""".encodeToByteArray()
        override val mayResend: Boolean get() = sent <= options.bookingResends
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
            return RequestOutcome.Wrong("booking $key was answered with $answer")
        }
    }

    private inner class ChatCall(private val question: Arrival.ChatTurn) :
        PreparedCall(question) {
        private val answer = Answer.to(promptOf(question.messages))
        override val request: Request = Request.Builder()
            .url("${entry()}/v1/chat/completions")
            .header("X-Team", question.team)
            .header("X-Request-Id", requestIdOf(question))
            .apply { options.service?.let { header("X-Service", it) } }
            .post(standInJson.encodeToString(chat()).toRequestBody(JSON))
            .build()
        private var previousNanoseconds = 0L

        override fun read(response: Response): RequestOutcome {
            val outcome = if (question.isStream) readStream(response) else readWhole(response)
            if (outcome is RequestOutcome.Complete) {
                recorder.whole.record(System.nanoTime() - dueNanoseconds)
            }
            return outcome
        }

        private fun chat() = ChatRequest(
            model = options.model,
            messages = question.messages,
            maximumTokens = options.answerTokens,
            stream = question.isStream,
        )

        private fun readWhole(response: Response): RequestOutcome {
            val whole = standInJson.decodeFromString<ChatResponse>(response.body.string())
            val content = whole.choices.firstOrNull()?.message?.content
            val expected = answer.text(options.answerTokens)
            if (content != expected) return RequestOutcome.Wrong("'$content' for '$expected'")
            val details = whole.usage.promptTokensDetails
            return RequestOutcome.Complete(whole.usage.promptTokens, details.cachedTokens)
        }

        private fun readStream(response: Response): RequestOutcome {
            val check = StreamValidator(answer, options.answerTokens)
            val source = response.body.source()
            try {
                while (true) {
                    val line = source.readUtf8Line() ?: return check.outcome(hasEndMarker = false)
                    if (!line.startsWith(DATA)) continue
                    val data = line.substring(DATA.length).trim()
                    if (data == END_OF_STREAM) return check.outcome(hasEndMarker = true)
                    if (data.startsWith(ERROR)) return check.failed(data)
                    val chunk = standInJson.decodeFromString<ChatChunk>(data)
                    if (check.accept(chunk)) recordToken(chunk)
                }
            } catch (failure: IOException) {
                return check.failed(failure.toString())
            }
        }

        private fun recordToken(chunk: ChatChunk) {
            val now = System.nanoTime()
            val microseconds = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now())
            recorder.relayDelay.record(TimeUnit.MICROSECONDS.toNanos(microseconds - chunk.sentAt))
            if (previousNanoseconds == 0L) {
                recorder.firstToken.record(now - dueNanoseconds)
            } else {
                recorder.betweenTokens.record(now - previousNanoseconds)
            }
            previousNanoseconds = now
        }
    }

    private fun labelOf(arrival: Arrival): String = when (arrival) {
        is Arrival.ChatTurn -> "chat ${arrival.chat} turn ${arrival.turn}"
        is Arrival.Booking -> "booking ${keyOf(arrival)}"
    }

    private companion object {
        const val MINIMUM_THREADS = 32
        const val IDLE_THREAD_SECONDS = 5L
        const val THREAD_STACK_BYTES = 262_144L
        const val RESEND_MILLISECONDS = 400L
        const val POOLED_CONNECTIONS = 1_024

        // Shorter than the servers' idle time, so that no request meets a connection being closed.
        const val POOLED_SECONDS = 10L
        const val UNAVAILABLE = 503
        const val DATA = "data:"
        const val ERROR = "{\"error\""
        const val END_OF_STREAM = "[DONE]"
        const val OUTCOME_HEADER = "X-Hibiscus-Outcome"
        val JSON = "application/json".toMediaType()
    }
}
