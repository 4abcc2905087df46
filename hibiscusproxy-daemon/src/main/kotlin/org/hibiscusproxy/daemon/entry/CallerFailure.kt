package org.hibiscusproxy.daemon.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.hibiscusproxy.protocol.NotRunReason
import org.hibiscusproxy.protocol.RequestIdentifier

/**
 * Error response that a caller gets in place of a target's answer.
 *
 * @property status HTTP status
 * @property type stable machine-readable error type
 * @property mayHaveRun false only if the request certainly did not run
 * @property retryAfter delay after which the caller may retry; null omits `Retry-After`
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

    /** JSON error body for [request]. */
    fun toJson(request: RequestIdentifier): String =
        Json.encodeToString(Body(Content(type, message, request.value)))

    @Serializable
    private data class Body(val error: Content)

    @Serializable
    private data class Content(val type: String, val message: String, val requestId: String)

    companion object {
        private val DEFAULT_RETRY_AFTER = 1.seconds

        fun badRequest(type: String, message: String) = CallerFailure(400, type, message)

        fun unknownTeam(team: String) =
            CallerFailure(403, "unknown-team", "no team is called $team")

        fun notFound(type: String, message: String) = CallerFailure(404, type, message)

        fun bodyTooLong(limit: Int) =
            CallerFailure(413, "body-too-long", "the body is longer than $limit bytes")

        fun bodiesExceedMemory() = unavailable(
            "overloaded",
            "this entry holds too many long requests",
            DEFAULT_RETRY_AFTER,
        )

        fun bodyTimeout() = CallerFailure(408, "body-timeout", "the body did not arrive in time")

        fun draining() = unavailable("draining", "this entry is shutting down", DEFAULT_RETRY_AFTER)

        fun notConfigured() = unavailable(
            "not-configured",
            "this entry has no configuration yet",
            DEFAULT_RETRY_AFTER,
        )

        fun noTarget() =
            unavailable("no-target", "no target takes this request at present", DEFAULT_RETRY_AFTER)

        fun noController() = unavailable(
            "no-controller",
            "no controller could record the request",
            DEFAULT_RETRY_AFTER,
        )

        fun notRun(reason: NotRunReason, retryAfter: Duration): CallerFailure = when (reason) {
            NotRunReason.DEADLINE ->
                CallerFailure(504, "deadline", "the deadline passed before the request ran")

            else -> unavailable(
                reason.name.lowercase().replace('_', '-'),
                "the request did not run: $reason",
                maxOf(retryAfter, DEFAULT_RETRY_AFTER),
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
            retryAfter = DEFAULT_RETRY_AFTER,
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

        private fun unavailable(type: String, message: String, retryAfter: Duration) =
            CallerFailure(503, type, message, retryAfter = maxOf(retryAfter, 1.milliseconds))
    }
}
