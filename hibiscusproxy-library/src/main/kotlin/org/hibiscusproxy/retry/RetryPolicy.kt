package org.hibiscusproxy.retry

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.protocol.NotRunReason

/**
 * Decides about retries by the failure, the number of attempts, the deadline, the budget and the
 * bytes already relayed. Refused placement probes do not count as failures; the placement plan
 * limits them.
 *
 * @property random source of the jitter
 */
class RetryPolicy(
    private val budget: RetryBudget,
    private val random: Random,
    private val maximumAttempts: Int = 4,
    private val initialBackoff: Duration = 20.milliseconds,
    private val maximumBackoff: Duration = 1_000.milliseconds,
) {
    /** Decides after [failure]; takes one retry from the budget if the decision is to retry. */
    fun decide(failure: AttemptFailure, request: RetryContext): RetryDecision {
        giveUpReason(failure, request)?.let { return RetryDecision.GiveUp(it) }
        val delay = delay(failure, request)
        return when {
            delay >= request.remaining -> RetryDecision.GiveUp(GiveUpReason.DEADLINE)
            !budget.tryTake() -> RetryDecision.GiveUp(GiveUpReason.BUDGET)
            delay > Duration.ZERO -> RetryDecision.RetryAfter(delay)
            else -> RetryDecision.RetryOtherTarget
        }
    }

    /** Records a caller's request, which refills the budget. */
    fun requestStarted() = budget.requestStarted()

    private fun giveUpReason(failure: AttemptFailure, request: RetryContext): GiveUpReason? = when {
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

    private fun delay(failure: AttemptFailure, request: RetryContext): Duration {
        if (request.untriedTargets > 0) return Duration.ZERO
        val doublings = (request.attempts - 1).coerceIn(0, MAXIMUM_DOUBLINGS)
        val backoff = initialBackoff * (1 shl doublings)
        val requested = (failure as? AttemptFailure.NotRun)?.retryAfter ?: Duration.ZERO
        val longest = maxOf(minOf(backoff, maximumBackoff), requested)
        return longest * (HALF + HALF * random.nextDouble())
    }

    private companion object {
        const val MAXIMUM_DOUBLINGS = 10
        const val HALF = 0.5
    }
}

/**
 * State of a request after a failed attempt.
 *
 * @property attempts number of failed attempts, at least 1; refused probes do not count
 * @property remaining time until the deadline
 * @property repeatable whether the request may run more than once
 * @property bytesRelayed bytes of the response that were sent to the caller
 * @property untriedTargets number of candidates that were not tried yet
 */
data class RetryContext(
    val attempts: Int,
    val remaining: Duration,
    val repeatable: Boolean,
    val bytesRelayed: Long,
    val untriedTargets: Int,
)
