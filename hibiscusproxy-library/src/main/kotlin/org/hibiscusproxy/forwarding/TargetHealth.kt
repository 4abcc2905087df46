package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How an attempt ended, as evidence of the target's health. */
enum class AttemptResult {
    /** The target answered. */
    ANSWERED,

    /** The target answered with a failure of its own. */
    FAILED,

    /** The connection was not established. */
    UNREACHABLE,

    /** The connection ended, or the answer was no valid one. */
    CONNECTION_BROKEN,

    /** Nothing came in time. */
    TIMED_OUT,

    /** No evidence: the caller left, or the target stated that it did not run the request. */
    INCONCLUSIVE,
}

/**
 * Tracks the health of one target by the outcomes of requests. Failures in a row suspend it for a time that
 * doubles, after which single requests try it again; a high failure rate lowers its rank.
 */
internal class TargetHealth {
    private var failuresInARow = 0
    private var suspendedUntil: ComparableTimeMark? = null

    /** Decaying share of failed requests, 0 to 1. */
    var failureShare = 0.0
        private set

    fun isSuspended(now: ComparableTimeMark): Boolean = suspendedUntil.let {
        it != null && now < it
    }

    /** When the present suspension ends; null without one. */
    fun suspensionEnd(): ComparableTimeMark? = suspendedUntil

    fun record(result: AttemptResult, now: ComparableTimeMark) {
        when (result) {
            AttemptResult.INCONCLUSIVE -> return

            AttemptResult.ANSWERED -> {
                failuresInARow = 0
                suspendedUntil = null
                failureShare *= 1 - SMOOTHING
            }

            AttemptResult.FAILED -> failed(now, tolerated = TOLERATED_FAILURES)

            AttemptResult.CONNECTION_BROKEN -> failed(now, tolerated = TOLERATED_BREAKS)

            AttemptResult.UNREACHABLE, AttemptResult.TIMED_OUT -> failed(now, tolerated = 0)
        }
    }

    private fun failed(now: ComparableTimeMark, tolerated: Int) {
        failuresInARow += 1
        failureShare += (1 - failureShare) * SMOOTHING
        if (failuresInARow <= tolerated) return
        val doublings = (failuresInARow - tolerated - 1).coerceAtMost(MAXIMUM_DOUBLINGS)
        suspendedUntil = now + minOf(FIRST_SUSPENSION * (1 shl doublings), LONGEST_SUSPENSION)
    }

    companion object {
        /** About the last ten outcomes count. */
        private const val SMOOTHING = 0.1

        /** Services answer single requests with failures of their own while they are sound. */
        private const val TOLERATED_FAILURES = 3

        /** A single broken connection is no sign of a lost target. */
        private const val TOLERATED_BREAKS = 1
        private const val MAXIMUM_DOUBLINGS = 5

        /** About a round of connection attempts; a restarting target is back in some seconds. */
        val FIRST_SUSPENSION: Duration = 250.milliseconds

        /** Bounds the time for which a sound target stays unused after a cut has healed. */
        val LONGEST_SUSPENSION: Duration = 2.seconds
    }
}
