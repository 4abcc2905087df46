package org.hibiscusproxy.forwarding

import kotlin.math.ceil
import kotlin.math.ln
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Outcome of an attempt, as used to track the health of the target. */
enum class AttemptResult {
    /** The target answered. */
    ANSWERED,

    /** The target answered with an error of its own. */
    FAILED,

    /** The connection could not be established. */
    UNREACHABLE,

    /** The connection was closed, or the response was invalid. */
    CONNECTION_BROKEN,

    /** No data arrived before the timeout. */
    TIMED_OUT,

    /** No evidence: the caller disconnected, or the target did not run the request. */
    INCONCLUSIVE,
}

/**
 * Tracks the health of one target by the outcomes of attempts. Consecutive failures suspend the
 * target for a time that doubles with each failure, after which single requests probe it again. A
 * high failure rate lowers its rank. While the other targets of the service fail as well, more
 * failures in a row are needed: they say less about this one.
 */
internal class TargetHealth {
    private var consecutiveFailures = 0
    private var suspendedUntil: ComparableTimeMark? = null

    /** The latest outcomes, to compare the targets of a service. */
    val outcomes = RecentOutcomes()

    /** Exponential moving average of the share of failed attempts, from 0 to 1. */
    var failureShare = 0.0
        private set

    fun isSuspended(now: ComparableTimeMark): Boolean = suspendedUntil.let {
        it != null && now < it
    }

    /** End of the latest suspension, or null if the target has answered since. */
    fun suspensionEnd(): ComparableTimeMark? = suspendedUntil

    /**
     * Records the [result] of an attempt.
     *
     * @param usualShare present share of failures at the other targets of the service
     */
    fun record(result: AttemptResult, now: ComparableTimeMark, usualShare: Double = 0.0) {
        if (result == AttemptResult.INCONCLUSIVE) return
        outcomes.record(isFailure = result != AttemptResult.ANSWERED, now)
        when (result) {
            AttemptResult.INCONCLUSIVE -> return

            AttemptResult.ANSWERED -> {
                consecutiveFailures = 0
                suspendedUntil = null
                failureShare *= 1 - SMOOTHING
            }

            AttemptResult.FAILED -> failed(now, maxOf(TOLERATED_FAILURES, usualRun(usualShare)))

            AttemptResult.CONNECTION_BROKEN -> failed(
                now,
                maxOf(TOLERATED_BROKEN_CONNECTIONS, usualRun(usualShare)),
            )

            AttemptResult.UNREACHABLE, AttemptResult.TIMED_OUT -> failed(now, tolerated = 0)
        }
    }

    /** Failures in a row that a target like the others, of which [share] fail, rarely exceeds. */
    private fun usualRun(share: Double): Int {
        if (share < MINIMUM_USUAL_SHARE) return 0
        return ceil(ln(RARE_RUN) / ln(share.coerceAtMost(MAXIMUM_USUAL_SHARE))).toInt()
    }

    private fun failed(now: ComparableTimeMark, tolerated: Int) {
        consecutiveFailures += 1
        failureShare += (1 - failureShare) * SMOOTHING
        if (consecutiveFailures <= tolerated) return
        val doublings = (consecutiveFailures - tolerated - 1).coerceAtMost(MAXIMUM_DOUBLINGS)
        suspendedUntil = now + minOf(FIRST_SUSPENSION * (1 shl doublings), LONGEST_SUSPENSION)
    }

    companion object {
        /** Averages over about ten outcomes. */
        private const val SMOOTHING = 0.1

        /** Healthy services fail single requests with errors of their own. */
        private const val TOLERATED_FAILURES = 3

        /** A single broken connection does not indicate a lost target. */
        private const val TOLERATED_BROKEN_CONNECTIONS = 1
        private const val MAXIMUM_DOUBLINGS = 5

        /** Probability of a run of failures by chance that suspends a target. */
        private const val RARE_RUN = 0.01

        /** Below, single failures decide as they do in a service without trouble. */
        private const val MINIMUM_USUAL_SHARE = 0.1

        /** Above, a target that is lost would be noticed too late; 20 failures in a row. */
        private const val MAXIMUM_USUAL_SHARE = 0.8

        /** About one round of connection attempts; a target restarts within a few seconds. */
        val FIRST_SUSPENSION: Duration = 250.milliseconds

        /** Bounds how long a healthy target stays unused after a network partition ends. */
        val LONGEST_SUSPENSION: Duration = 2.seconds
    }
}
