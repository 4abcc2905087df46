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
import org.hibiscusproxy.daemon.withoutConnectionReuse
import org.hibiscusproxy.model.NetworkAddress

/**
 * Client of the operator interface of controllers. It follows referrals to the leader and resends a
 * call whose response was lost. Resending is safe because each change carries an identifier by
 * which controllers detect duplicates.
 *
 * @param controllers addresses of operator interfaces, tried in turn
 * @param timeout time after which a call is no longer retried
 */
class OperatorClient(
    private val controllers: List<NetworkAddress>,
    private val key: FleetKey,
    private val timeout: Duration = 15.seconds,
) : AutoCloseable {
    private val http = OkHttpClient.Builder()
        .connectTimeout(CONNECT_TIMEOUT.toJavaDuration())
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .withoutConnectionReuse()
        .build()

    init {
        require(controllers.isNotEmpty()) { "no controllers given" }
    }

    /**
     * Sends a call, with retries, until a controller responds or the timeout has passed.
     *
     * @param path path including the query
     * @param wait additional time that the controller may take to respond
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
                is AttemptResult.NoResponse -> attempts.mayHaveRun = true
            }
            attempts.lastFailure = "$address: ${result.description}"
            if (start.elapsedNow() >= timeout) return attempts.failure()
            Thread.sleep(RETRY_DELAY.inWholeMilliseconds)
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
        val readTimeout = (RESPONSE_TIMEOUT + wait).toJavaDuration()
        val client = http.newBuilder().readTimeout(readTimeout).build()
        return try {
            client.newCall(request).execute().use { response ->
                interpret(response.code, response.body.string())
            }
        } catch (failure: ConnectException) {
            AttemptResult.Unreachable(failure.message.orEmpty())
        } catch (failure: IOException) {
            AttemptResult.NoResponse(failure.message ?: failure.javaClass.simpleName)
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
            OperatorErrorType.OUTCOME_UNKNOWN -> AttemptResult.NoResponse(error.message)
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
    }

    /** Selects the controller for the next attempt and records the failures so far. */
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

        fun follow(referrer: NetworkAddress, address: NetworkAddress?) {
            leader = address?.takeIf { it != referrer }
        }

        fun failure(): CallResult =
            if (mayHaveRun) CallResult.Unknown(lastFailure) else CallResult.NotReached(lastFailure)
    }

    private sealed class AttemptResult {
        abstract val description: String

        class Answered(val status: Int, val body: String) : AttemptResult() {
            override val description = "responded"
        }

        class NotLeader(val leader: NetworkAddress?) : AttemptResult() {
            override val description = "not the leader"
        }

        class Unreachable(override val description: String) : AttemptResult()

        class NoResponse(override val description: String) : AttemptResult()
    }

    companion object {
        private val JSON = "application/json".toMediaType()
        private val CONNECT_TIMEOUT = 2.seconds
        private val RESPONSE_TIMEOUT = 5.seconds
        private val RETRY_DELAY = 150.milliseconds

        /** Decodes the error in [body]; null when [body] is not an error. */
        fun errorOf(body: String): OperatorError? = try {
            OperatorJson.format.decodeFromString(OperatorError.serializer(), body)
        } catch (_: SerializationException) {
            null
        }
    }
}

/** Result of a call. */
sealed class CallResult {
    /** A controller that could process the call responded. */
    data class Answered(val status: Int, val body: String) : CallResult()

    /** No controller accepted the call; it had no effect. */
    data class NotReached(val lastFailure: String) : CallResult()

    /** A response was lost; the call may have taken effect. */
    data class Unknown(val lastFailure: String) : CallResult()
}
