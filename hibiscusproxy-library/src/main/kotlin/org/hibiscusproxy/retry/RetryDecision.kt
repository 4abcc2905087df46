package org.hibiscusproxy.retry

import kotlin.time.Duration
import org.hibiscusproxy.protocol.NotRunReason

/** Decision of an entry after a failed attempt. */
sealed class RetryDecision {
    /** Send the next attempt to another target immediately. */
    data object RetryOtherTarget : RetryDecision()

    /** Send the next attempt after [delay]; targets may be tried again. */
    data class RetryAfter(val delay: Duration) : RetryDecision()

    /** Return an error to the caller. */
    data class GiveUp(val reason: GiveUpReason) : RetryDecision()
}

/** Reason for not retrying. */
enum class GiveUpReason {
    /** The caller already received bytes of the response. */
    ALREADY_RELAYED,

    /** The attempt may have run, and the request must not run twice. */
    OUTCOME_UNKNOWN,

    /** Every target refuses the request. */
    REFUSED,

    /** The caller cancelled the request. */
    CANCELLED,

    /** The deadline has passed or would pass during the delay. */
    DEADLINE,

    /** The maximum number of attempts was reached. */
    ATTEMPTS,

    /** The retry budget is exhausted. */
    BUDGET,
}

/** Failure of an attempt. */
sealed class AttemptFailure {
    /** The sidecar reported that the attempt did not run. */
    data class NotRun(val reason: NotRunReason, val retryAfter: Duration) : AttemptFailure()

    /** The response was incomplete or the connection was lost, so the attempt may have run. */
    data object MayHaveRun : AttemptFailure()
}
