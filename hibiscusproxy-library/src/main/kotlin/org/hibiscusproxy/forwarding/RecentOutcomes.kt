package org.hibiscusproxy.forwarding

import kotlin.math.exp
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds

/** Counts of the latest outcomes of attempts at one target, which fade with time. */
internal class RecentOutcomes {
    private var answers = 0.0
    private var failures = 0.0
    private var updatedAt: ComparableTimeMark? = null

    fun record(isFailure: Boolean, now: ComparableTimeMark) {
        val remaining = remaining(now)
        answers = answers * remaining + 1
        failures = failures * remaining + if (isFailure) 1 else 0
        updatedAt = now
    }

    /** Outcomes of all kinds. */
    fun answers(now: ComparableTimeMark): Double = answers * remaining(now)

    fun failures(now: ComparableTimeMark): Double = failures * remaining(now)

    private fun remaining(now: ComparableTimeMark): Double =
        updatedAt?.let { exp(-((now - it) / LIFETIME).coerceAtLeast(0.0)) } ?: 0.0

    private companion object {
        /** Spells in which all targets of a service fail last about 4 s. */
        val LIFETIME = 3.seconds
    }
}
