package org.hibiscusproxy.retry

import kotlin.time.Duration
import org.hibiscusproxy.protocol.NotRunReason

/** What an entry does after an attempt failed. */
sealed class RetryDecision {
    /** Dispatch the next attempt to another target now. */
    data object RetryOtherTarget : RetryDecision()

    /** Dispatch the next attempt after [pause]; the same target is allowed again. */
    data class RetryAfter(val delay: Duration) : RetryDecision()

    /** Answer the caller with a failure. */
    data class GiveUp(val reason: GiveUpReason) : RetryDecision()
}

/** Why an entry does not retry. */
enum class GiveUpReason {
    /** The caller has bytes of the answer. */
    ALREADY_RELAYED,

    /** The attempt may have run and must not run twice. */
    OUTCOME_UNKNOWN,

    /** The request is refused wherever it goes. */
    REFUSED,

    /** The caller left. */
    CANCELLED,

    /** The deadline passed or would pass during the pause. */
    DEADLINE,

    /** The maximum number of attempts was made. */
    ATTEMPTS,

    /** Retries used up their share of the traffic. */
    BUDGET,
}

/** How an attempt failed. */
sealed class AttemptFailure {
    /** The sidecar says that the attempt did not run. */
    data class NotRun(val reason: NotRunReason, val retryAfter: Duration) : AttemptFailure()

    /** The answer broke off or the sidecar's connection was lost: it may have run. */
    data object MayHaveRun : AttemptFailure()
}
