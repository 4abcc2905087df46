package org.hibiscusproxy.daemon.forwarding

import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import kotlin.time.Duration

/**
 * How a request ends. [applicableTo] turns an answer that would not be true into one that is, so
 * that no caller is told that a request was not executed after a target may have received it.
 */
internal sealed class FinalAnswer {
    /** Why the request ends. */
    abstract val reason: FinalReason

    /** Name of the outcome in log lines and metrics. */
    abstract val outcome: String

    /** A target's response was forwarded completely. */
    data object Forwarded : FinalAnswer() {
        override val reason = FinalReason.COMPLETE
        override val outcome = "answered"
    }

    /** The caller closed its connection, so nothing is sent. */
    data object CallerLeft : FinalAnswer() {
        override val reason = FinalReason.CALLER_LEFT
        override val outcome = "caller-left"
    }

    /** The connection is closed within a response that cannot be completed. */
    data class BrokenOff(override val reason: FinalReason) : FinalAnswer() {
        override val outcome = "broken-off"
    }

    /**
     * The request was not executed, and the caller may send it again after [retryAfter].
     *
     * @property otherwise status of the answer if the request may have been executed
     */
    data class Refused(
        override val reason: FinalReason,
        val retryAfter: Duration,
        val otherwise: HttpResponseStatus = HttpResponseStatus.BAD_GATEWAY,
    ) : FinalAnswer() {
        override val outcome = "refused"
    }

    /** The stream cannot go on, and the caller may begin a new one. */
    data class StreamRefused(override val reason: FinalReason) : FinalAnswer() {
        override val outcome = "refused"
    }

    /** An error with [status], which promises nothing. */
    data class Failed(override val reason: FinalReason, val status: HttpResponseStatus) :
        FinalAnswer() {
        override val outcome = "failed"
    }

    /**
     * Returns this answer, or the one that replaces it for a request in [phase].
     *
     * @param mayHaveRun whether a target may have executed the request
     */
    fun applicableTo(phase: ExchangePhase, mayHaveRun: Boolean): FinalAnswer = when (this) {
        is Forwarded, is CallerLeft, is BrokenOff -> this

        is Refused -> when {
            phase is ExchangePhase.Answering -> BrokenOff(reason)
            mayHaveRun -> Failed(reason, otherwise)
            else -> this
        }

        is StreamRefused -> when {
            phase is ExchangePhase.Answering -> BrokenOff(reason)
            mayHaveRun -> Failed(reason, HttpResponseStatus.BAD_GATEWAY)
            else -> this
        }

        is Failed -> if (phase is ExchangePhase.Answering) BrokenOff(reason) else this
    }

    /** Returns the response that the forwarder generates for this answer; null if there is none. */
    fun response(mayHaveRun: Boolean): DefaultFullHttpResponse? = when (this) {
        is Forwarded, is CallerLeft, is BrokenOff -> null

        is Refused -> ErrorResponses.refusal(reason, retryAfter)

        is StreamRefused -> ErrorResponses.restart(reason)

        is Failed -> {
            val execution = if (mayHaveRun) ErrorResponses.UNKNOWN else ErrorResponses.NOT_RUN
            ErrorResponses.failure(status, reason, execution)
        }
    }
}
