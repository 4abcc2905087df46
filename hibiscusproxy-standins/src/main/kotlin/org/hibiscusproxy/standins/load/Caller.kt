package org.hibiscusproxy.standins.load

import java.io.IOException
import java.net.ConnectException
import java.time.Instant
import java.time.temporal.ChronoUnit
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.serialization.encodeToString
import okhttp3.Call
import okhttp3.Callback
import okhttp3.ConnectionPool
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
 * planned arrival. The client never resends, so that each call is one request.
 */
class Caller(
    private val options: LoadOptions,
    private val runId: String,
    private val recorder: LoadRecorder,
    private val finished: (Arrival, RequestOutcome) -> Unit,
) : AutoCloseable {
    private val threads = ThreadPoolExecutor(
        0,
        Int.MAX_VALUE,
        IDLE_THREAD_SECONDS,
        TimeUnit.SECONDS,
        SynchronousQueue(),
    ) { task -> Thread(null, task, "caller", THREAD_STACK_BYTES).apply { isDaemon = true } }
    private val client = OkHttpClient.Builder()
        .dispatcher(
            Dispatcher(threads).apply {
                maxRequests = Int.MAX_VALUE
                maxRequestsPerHost = Int.MAX_VALUE
            },
        )
        .connectionPool(ConnectionPool(POOLED_CONNECTIONS, POOLED_SECONDS, TimeUnit.SECONDS))
        .retryOnConnectionFailure(false)
        .callTimeout((options.timeoutSeconds * 1_000).toLong(), TimeUnit.MILLISECONDS)
        .readTimeout(0, TimeUnit.SECONDS)
        .build()
    private val nextEntry = AtomicInteger()

    /** Sends [arrival], which was due at the monotonic time [dueNanoseconds]. */
    fun send(arrival: Arrival, dueNanoseconds: Long) {
        val handler = when (arrival) {
            is Arrival.Question -> question(arrival, dueNanoseconds)
            is Arrival.Booking -> booking(arrival, dueNanoseconds)
        }
        recorder.started(System.nanoTime() - dueNanoseconds)
        client.newCall(handler.request).enqueue(handler)
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
    fun requestIdOf(question: Arrival.Question): String = "$runId-${question.chat}-${question.turn}"

    private fun question(question: Arrival.Question, dueNanoseconds: Long): Handler {
        val chat = ChatRequest(
            options.model,
            question.messages,
            options.answerTokens,
            question.isStream,
        )
        val request = Request.Builder()
            .url("${entry()}/v1/chat/completions")
            .header("X-Team", question.team)
            .header("X-Request-Id", requestIdOf(question))
            .post(standInJson.encodeToString(chat).toRequestBody(JSON))
        options.service?.let { request.header("X-Service", it) }
        val answer = Answer.to(promptOf(question.messages))
        return Handler(question, request.build()) { response ->
            val outcome = when {
                question.isStream -> readStream(
                    response,
                    StreamCheck(answer, options.answerTokens),
                    dueNanoseconds,
                )
                else -> readWhole(response, answer.text(options.answerTokens))
            }
            recorder.whole.record(System.nanoTime() - dueNanoseconds)
            outcome
        }
    }

    private fun booking(booking: Arrival.Booking, dueNanoseconds: Long): Handler {
        val key = keyOf(booking)
        val body = """{"booking": "$key", "team": "${booking.team}"}""".encodeToByteArray()
        val request = Request.Builder()
            .url("${entry()}/services/${options.bookingService}/bookings")
            .header("X-Team", booking.team)
            .header("Idempotency-Key", key)
            .post(body.toRequestBody(JSON))
            .build()
        return Handler(booking, request) { response ->
            val answer = standInJson.decodeFromString<ServiceAnswer>(response.body.string())
            recorder.booking.record(System.nanoTime() - dueNanoseconds)
            if (answer.idempotencyKey == key && answer.bodySha256 == body.sha256()) {
                RequestOutcome.Complete(0, 0)
            } else {
                RequestOutcome.Wrong("booking $key was answered with $answer")
            }
        }
    }

    private fun entry(): String =
        options.entries[Math.floorMod(nextEntry.getAndIncrement(), options.entries.size)]

    private fun readWhole(response: Response, expected: String): RequestOutcome {
        val answer = standInJson.decodeFromString<ChatResponse>(response.body.string())
        val content = answer.choices.firstOrNull()?.message?.content
        if (content != expected) return RequestOutcome.Wrong("'$content' instead of '$expected'")
        val usage = answer.usage
        return RequestOutcome.Complete(usage.promptTokens, usage.promptTokensDetails.cachedTokens)
    }

    private fun readStream(
        response: Response,
        check: StreamCheck,
        dueNanoseconds: Long,
    ): RequestOutcome {
        var previousNanoseconds = 0L
        var hasEndMarker = false
        val source = response.body.source()
        try {
            while (!hasEndMarker) {
                val line = source.readUtf8Line() ?: break
                if (!line.startsWith(DATA)) continue
                val now = System.nanoTime()
                val data = line.substring(DATA.length).trim()
                hasEndMarker = data == END_OF_STREAM
                if (hasEndMarker) break
                if (data.startsWith("{\"error\"")) return RequestOutcome.Broken(data)
                val chunk = standInJson.decodeFromString<ChatChunk>(data)
                val microseconds = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now())
                if (!check.accept(chunk)) continue
                recorder.relayDelay.record((microseconds - chunk.sentAt) * 1_000)
                if (previousNanoseconds == 0L) {
                    recorder.firstToken.record(now - dueNanoseconds)
                } else {
                    recorder.betweenTokens.record(now - previousNanoseconds)
                }
                previousNanoseconds = now
            }
        } catch (failure: IOException) {
            val outcome = check.outcome(hasEndMarker = false)
            return if (outcome is RequestOutcome.Broken) {
                RequestOutcome.Broken("${outcome.detail}: $failure")
            } else {
                outcome
            }
        }
        return check.outcome(hasEndMarker)
    }

    private inner class Handler(
        private val arrival: Arrival,
        val request: Request,
        private val read: (Response) -> RequestOutcome,
    ) : Callback {
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

        private fun refusal(response: Response): RequestOutcome {
            val body = response.body.string()
            val error = runCatching { standInJson.decodeFromString<ErrorBody>(body).error }
                .getOrElse { return RequestOutcome.Lost("${response.code} without error: $body") }
            return when (response.header(OUTCOME_HEADER)) {
                "not-run" -> RequestOutcome.NotRun(error.type, error.requestId)
                "unknown" -> RequestOutcome.Unknown(error.type)
                else -> RequestOutcome.Lost("${response.code} without outcome: $body")
            }
        }

        private fun finish(outcome: RequestOutcome) {
            val label = when (arrival) {
                is Arrival.Question -> "chat ${arrival.chat} turn ${arrival.turn}"
                is Arrival.Booking -> "booking ${keyOf(arrival)}"
            }
            recorder.finished(label, outcome)
            finished(arrival, outcome)
        }
    }

    private companion object {
        const val IDLE_THREAD_SECONDS = 5L
        const val THREAD_STACK_BYTES = 262_144L
        const val POOLED_CONNECTIONS = 1_024

        // Shorter than the servers' idle time, so that no request meets a connection being closed.
        const val POOLED_SECONDS = 10L
        const val DATA = "data:"
        const val END_OF_STREAM = "[DONE]"
        const val OUTCOME_HEADER = "X-Hibiscus-Outcome"
        val JSON = "application/json".toMediaType()
    }
}
