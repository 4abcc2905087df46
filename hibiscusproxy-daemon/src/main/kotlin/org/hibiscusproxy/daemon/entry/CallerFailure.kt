package org.hibiscusproxy.daemon.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.hibiscusproxy.protocol.NotRunReason
import org.hibiscusproxy.protocol.RequestIdentifier

/**
 * Why a caller gets no answer of a target, as the caller sees it.
 *
 * @property status HTTP status
 * @property type stable name for programs
 * @property mayHaveRun false only when it is certain that the request did not run
 * @property retryAfter when the caller may try again; null gives no advice
 */
internal data class CallerFailure(
    val status: Int,
    val type: String,
    val message: String,
    val mayHaveRun: Boolean = false,
    val retryAfter: Duration? = null,
) {
    /** Value of the header `X-Hibiscus-Outcome`. */
    val outcome: String get() = if (mayHaveRun) "unknown" else "not-run"

    /** JSON body of the failure of [request]. */
    fun toJson(request: RequestIdentifier): String =
        Json.encodeToString(Body(Content(type, message, request.value)))

    @Serializable
    private data class Body(val error: Content)

    @Serializable
    private data class Content(val type: String, val message: String, val requestId: String)

    companion object {
        private val SHORT_WAIT = 1.seconds

        fun badRequest(type: String, message: String) = CallerFailure(400, type, message)

        fun unknownTeam(team: String) =
            CallerFailure(403, "unknown-team", "no team is called $team")

        fun notFound(type: String, message: String) = CallerFailure(404, type, message)

        fun bodyTooLong(limit: Int) =
            CallerFailure(413, "body-too-long", "the body is longer than $limit bytes")

        fun bodiesExceedMemory() =
            unavailable("overloaded", "this entry holds too many long requests", SHORT_WAIT)

        fun bodyTimeout() = CallerFailure(408, "body-timeout", "the body did not arrive in time")

        fun draining() = unavailable("draining", "this entry is shutting down", SHORT_WAIT)

        fun notConfigured() =
            unavailable("not-configured", "this entry has no configuration yet", SHORT_WAIT)

        fun noTarget() =
            unavailable("no-target", "no target takes this request at present", SHORT_WAIT)

        fun noController() =
            unavailable("no-controller", "no controller could record the request", SHORT_WAIT)

        fun notRun(reason: NotRunReason, retryAfter: Duration): CallerFailure = when (reason) {
            NotRunReason.DEADLINE ->
                CallerFailure(504, "deadline", "the deadline passed before the request ran")

            else -> unavailable(
                reason.name.lowercase().replace('_', '-'),
                "the request did not run: $reason",
                maxOf(retryAfter, SHORT_WAIT),
            )
        }

        fun deadline() = CallerFailure(
            504,
            "deadline",
            "the deadline passed while the request was in progress",
            mayHaveRun = true,
        )

        fun broken() = CallerFailure(
            502,
            "broken",
            "the answer broke off",
            mayHaveRun = true,
        )

        fun answerTooLong(limit: Int) = CallerFailure(
            502,
            "answer-too-long",
            "the answer of a non-repeatable call is longer than $limit bytes",
            mayHaveRun = true,
        )

        fun inProgress() = CallerFailure(
            409,
            "in-progress",
            "a request with this Idempotency-Key is in progress",
            mayHaveRun = true,
            retryAfter = SHORT_WAIT,
        )

        fun outcomeUnknown() = CallerFailure(
            409,
            "outcome-unknown",
            "an earlier request with this Idempotency-Key may have run; it is not run again",
            mayHaveRun = true,
        )

        fun answerNotStored(status: Int, bytes: Int) = CallerFailure(
            409,
            "answer-not-stored",
            "the request ran with status $status; its answer of $bytes bytes was not kept",
            mayHaveRun = true,
        )

        fun attemptRefused() = CallerFailure(
            409,
            "attempt-refused",
            "this Idempotency-Key has used up its attempts",
            mayHaveRun = true,
        )

        fun contentMismatch() = CallerFailure(
            422,
            "content-mismatch",
            "this Idempotency-Key was used with other content",
        )

        private fun unavailable(type: String, message: String, wait: Duration) =
            CallerFailure(503, type, message, retryAfter = maxOf(wait, 1.milliseconds))
    }
}
