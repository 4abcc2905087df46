package org.hibiscusproxy.retry

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.protocol.NotRunReason

/**
 * Decides about retries by what failed, attempts, deadline, budget and bytes relayed. Refused
 * probes of a placement walk are no failures; they are limited by the walk itself.
 *
 * @property random source of the jitter, seeded by the caller
 */
class RetryPolicy(
    private val budget: RetryBudget,
    private val random: Random,
    private val maximumAttempts: Int = 4,
    private val firstPause: Duration = 20.milliseconds,
    private val longestPause: Duration = 1_000.milliseconds,
) {
    /** Decides after [failure]; takes from the budget when the decision is to retry. */
    fun decide(failure: AttemptFailure, request: RetryContext): RetryDecision {
        refusal(failure, request)?.let { return RetryDecision.GiveUp(it) }
        val pause = pause(failure, request)
        return when {
            pause >= request.remaining -> RetryDecision.GiveUp(GiveUpReason.DEADLINE)
            !budget.tryTake() -> RetryDecision.GiveUp(GiveUpReason.BUDGET)
            pause > Duration.ZERO -> RetryDecision.RetryAfter(pause)
            else -> RetryDecision.RetryOtherTarget
        }
    }

    /** Counts a caller's request, which earns a share of a retry. */
    fun requestStarted() = budget.requestStarted()

    private fun refusal(failure: AttemptFailure, request: RetryContext): GiveUpReason? = when {
        request.bytesRelayed > 0 -> GiveUpReason.ALREADY_RELAYED

        failure is AttemptFailure.MayHaveRun && !request.repeatable ->
            GiveUpReason.OUTCOME_UNKNOWN

        failure is AttemptFailure.NotRun && failure.reason == NotRunReason.CRASHES_TARGETS ->
            GiveUpReason.REFUSED

        failure is AttemptFailure.NotRun && failure.reason == NotRunReason.CANCELLED ->
            GiveUpReason.CANCELLED

        failure is AttemptFailure.NotRun && failure.reason == NotRunReason.DEADLINE ->
            GiveUpReason.DEADLINE

        request.remaining <= Duration.ZERO -> GiveUpReason.DEADLINE

        request.attempts >= maximumAttempts -> GiveUpReason.ATTEMPTS

        else -> null
    }

    private fun pause(failure: AttemptFailure, request: RetryContext): Duration {
        if (request.untriedTargets > 0) return Duration.ZERO
        val exponential = firstPause * (1 shl (request.attempts - 1).coerceIn(0, MAXIMUM_SHIFT))
        val asked = (failure as? AttemptFailure.NotRun)?.retryAfter ?: Duration.ZERO
        val longest = maxOf(minOf(exponential, longestPause), asked)
        return longest * (HALF + HALF * random.nextDouble())
    }

    private companion object {
        const val MAXIMUM_SHIFT = 10
        const val HALF = 0.5
    }
}

/**
 * State of a request whose attempt failed.
 *
 * @property attempts attempts that failed so far, at least 1; refused probes do not count
 * @property remaining time to the deadline
 * @property repeatable whether it may run twice
 * @property bytesRelayed bytes of an answer that the caller has
 * @property untriedTargets candidates that were not tried yet
 */
data class RetryContext(
    val attempts: Int,
    val remaining: Duration,
    val repeatable: Boolean,
    val bytesRelayed: Long,
    val untriedTargets: Int,
)
