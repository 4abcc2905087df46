package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** What one incarnation of a target stated in its responses about taking further requests. */
internal class TargetNotice {
    private var isLeaving = false
    private var pausedUntil: ComparableTimeMark? = null

    /** Records that the target leaves, which is final. Returns whether that is news. */
    fun recordLeaving(): Boolean {
        val isNews = !isLeaving
        isLeaving = true
        return isNews
    }

    /** Records that the target wants no request for [duration]; a longer pause stays in force. */
    fun recordPause(duration: Duration, now: ComparableTimeMark) {
        val end = now + duration.coerceIn(Duration.ZERO, LONGEST_PAUSE)
        pausedUntil = pausedUntil?.let { maxOf(it, end) } ?: end
    }

    fun acceptance(now: ComparableTimeMark): Acceptance {
        if (isLeaving) return Acceptance.Leaving
        val remaining = pausedUntil?.let { it - now } ?: Duration.ZERO
        return if (remaining.isPositive()) Acceptance.Paused(remaining) else Acceptance.Open
    }

    companion object {
        /** Bounds how long a target stays unused because of one implausible statement. */
        val LONGEST_PAUSE = 5.minutes
    }
}
