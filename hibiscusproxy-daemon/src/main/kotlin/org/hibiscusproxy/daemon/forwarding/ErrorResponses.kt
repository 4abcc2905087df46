package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import java.nio.charset.StandardCharsets.UTF_8
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Error responses that the forwarder generates itself. The body names the error type, and a header
 * states whether the request may have been executed.
 */
internal object ErrorResponses {
    /** The request was not executed and will not be. */
    const val NOT_RUN = "not-run"

    /** The request may have been executed. */
    const val UNKNOWN = "unknown"

    /** Other processes serve; a caller that finds this one again is refused again. */
    val ANOTHER_PROCESS_RETRY_AFTER = 50.milliseconds

    /** A fully loaded target typically frees a slot within this time. */
    val BUSY_RETRY_AFTER = 150.milliseconds

    /** Unfinished bodies that stop the others are given up well within this time. */
    val MEMORY_RETRY_AFTER = 1_000.milliseconds
    private const val OUTCOME_HEADER = "X-Hibiscus-Outcome"
    private const val STREAM_HEADER = "X-Hibiscus-Stream"
    private const val RESTART = "restart"
    private const val MILLISECONDS_PER_SECOND = 1_000

    /** Refuses a request that was not executed; the caller may retry after [retryAfter]. */
    fun refusal(reason: FinalReason, retryAfter: Duration): DefaultFullHttpResponse {
        val response = failure(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, NOT_RUN)
        response.headers().set(HttpHeaderNames.RETRY_AFTER, secondsText(retryAfter))
        return response
    }

    /**
     * [duration] in seconds, rounded up to milliseconds. Not formatted by the library, which loads
     * locale data when the first callers are refused.
     */
    private fun secondsText(duration: Duration): String {
        val milliseconds = ceil(duration.toDouble(DurationUnit.MILLISECONDS)).toLong()
        val fraction = (milliseconds % MILLISECONDS_PER_SECOND).toString().padStart(3, '0')
        return "${milliseconds / MILLISECONDS_PER_SECOND}.$fraction"
    }

    /**
     * Refuses to continue a stream. The caller may begin a new one at once; there is no time after
     * which taking up this one would succeed, so none is stated.
     */
    fun restart(reason: FinalReason): DefaultFullHttpResponse {
        val response = failure(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, NOT_RUN)
        response.headers().set(STREAM_HEADER, RESTART)
        return response
    }

    /** Creates an error response with [status]; [outcome] is [NOT_RUN] or [UNKNOWN]. */
    fun failure(
        status: HttpResponseStatus,
        reason: FinalReason,
        outcome: String,
    ): DefaultFullHttpResponse {
        val body = Unpooled.copiedBuffer("{\"error\":{\"type\":\"${reason.text}\"}}", UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        response.headers().set(OUTCOME_HEADER, outcome)
        return response
    }
}
