package org.hibiscusproxy.daemon.command

import java.io.IOException
import java.net.ConnectException
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlin.time.toJavaDuration
import kotlinx.serialization.SerializationException
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.hibiscusproxy.daemon.controller.OperatorError
import org.hibiscusproxy.daemon.controller.OperatorErrorType
import org.hibiscusproxy.daemon.controller.OperatorJson
import org.hibiscusproxy.daemon.controller.SignedCall
import org.hibiscusproxy.daemon.transport.FleetKey
import org.hibiscusproxy.model.NetworkAddress

/**
 * Calls the operators' interface. It follows the leader, and repeats a call whose answer was lost;
 * that is safe because changes carry an identifier, by which a controller recognises a resend.
 *
 * @param controllers addresses of operators' interfaces, tried in turn
 * @param patience time until a call is given up
 */
class OperatorClient(
    private val controllers: List<NetworkAddress>,
    private val key: FleetKey,
    private val patience: Duration = 15.seconds,
) : AutoCloseable {
    private val http = OkHttpClient.Builder()
        .connectTimeout(CONNECT_TIMEOUT.toJavaDuration())
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .build()

    init {
        require(controllers.isNotEmpty()) { "no controllers given" }
    }

    /**
     * Makes a call until a controller answers it or the patience ends.
     *
     * @param path path with query
     * @param wait time that the call itself may take at the controller
     */
    fun call(
        method: String,
        path: String,
        body: String? = null,
        wait: Duration = Duration.ZERO,
    ): CallResult {
        val start = TimeSource.Monotonic.markNow()
        val attempts = Attempts()
        while (true) {
            val address = attempts.next()
            val result = attempt(address, method, path, body, wait)
            when (result) {
                is AttemptResult.Answered -> return CallResult.Answered(result.status, result.body)
                is AttemptResult.NotLeader -> attempts.follow(address, result.leader)
                is AttemptResult.Unreachable -> Unit
                is AttemptResult.Lost -> attempts.mayHaveRun = true
            }
            attempts.lastFailure = "$address: ${result.description}"
            if (start.elapsedNow() >= patience) return attempts.failure()
            Thread.sleep(PAUSE.inWholeMilliseconds)
        }
    }

    private fun attempt(
        address: NetworkAddress,
        method: String,
        path: String,
        body: String?,
        wait: Duration,
    ): AttemptResult {
        val request = signed(address, method, path, body)
        val timeout = (ANSWER_TIMEOUT + wait).toJavaDuration()
        val client = http.newBuilder().readTimeout(timeout).build()
        return try {
            client.newCall(request).execute().use { response ->
                interpret(response.code, response.body.string())
            }
        } catch (failure: ConnectException) {
            AttemptResult.Unreachable(failure.message.orEmpty())
        } catch (failure: IOException) {
            AttemptResult.Lost(failure.message ?: failure.javaClass.simpleName)
        }
    }

    private fun interpret(status: Int, body: String): AttemptResult {
        val error = when (status) {
            OperatorErrorType.NOT_LEADER.status, OperatorErrorType.OUTCOME_UNKNOWN.status ->
                errorOf(body)

            else -> null
        }
        return when (error?.type) {
            OperatorErrorType.NOT_LEADER -> AttemptResult.NotLeader(error.leaderAddress)
            OperatorErrorType.OUTCOME_UNKNOWN -> AttemptResult.Lost(error.message)
            else -> AttemptResult.Answered(status, body)
        }
    }

    private fun signed(
        address: NetworkAddress,
        method: String,
        path: String,
        body: String?,
    ): Request {
        val bytes = body.orEmpty().encodeToByteArray()
        val nonce = UUID.randomUUID().toString()
        val call = SignedCall(method, path, System.currentTimeMillis(), nonce, "$address")
        return Request.Builder()
            .url("http://$address$path")
            .header("Host", "$address")
            .header(SignedCall.TIME_HEADER, "${call.time}")
            .header(SignedCall.NONCE_HEADER, call.nonce)
            .header(SignedCall.SIGNATURE_HEADER, call.signature(key, bytes))
            .method(method, if (method == "GET") null else bytes.toRequestBody(JSON))
            .build()
    }

    override fun close() {
        http.dispatcher.executorService.shutdown()
        http.connectionPool.evictAll()
    }

    /** Chooses whom to call next. */
    private inner class Attempts {
        private var position = -1
        private var leader: NetworkAddress? = null
        var mayHaveRun = false
        var lastFailure = ""

        fun next(): NetworkAddress {
            leader?.let {
                leader = null
                return it
            }
            position = (position + 1) % controllers.size
            return controllers[position]
        }

        fun follow(asked: NetworkAddress, address: NetworkAddress?) {
            leader = address?.takeIf { it != asked }
        }

        fun failure(): CallResult =
            if (mayHaveRun) CallResult.Unknown(lastFailure) else CallResult.NotReached(lastFailure)
    }

    private sealed class AttemptResult {
        abstract val description: String

        class Answered(val status: Int, val body: String) : AttemptResult() {
            override val description = "answered"
        }

        class NotLeader(val leader: NetworkAddress?) : AttemptResult() {
            override val description = "not the leader"
        }

        class Unreachable(override val description: String) : AttemptResult()

        class Lost(override val description: String) : AttemptResult()
    }

    companion object {
        private val JSON = "application/json".toMediaType()
        private val CONNECT_TIMEOUT = 2.seconds
        private val ANSWER_TIMEOUT = 5.seconds
        private val PAUSE = 150.milliseconds

        /** The typed error in [body], or null when it is none. */
        fun errorOf(body: String): OperatorError? = try {
            OperatorJson.format.decodeFromString(OperatorError.serializer(), body)
        } catch (_: SerializationException) {
            null
        }
    }
}

/** What a call led to. */
sealed class CallResult {
    /** A controller that could decide answered. */
    data class Answered(val status: Int, val body: String) : CallResult()

    /** No controller took the call; nothing was done. */
    data class NotReached(val lastFailure: String) : CallResult()

    /** An answer was lost; the call may have had its effect. */
    data class Unknown(val lastFailure: String) : CallResult()
}
