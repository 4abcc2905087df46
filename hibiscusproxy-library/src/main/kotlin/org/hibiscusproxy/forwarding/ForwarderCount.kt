package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Number of forwarders that share the limits of the fleet, as leaders report it. A smaller number
 * counts only after [LIFETIME]: a new leader may not have heard of all, and those that have gone may
 * have used their shares. The number is unknown while no leader reports it, because leaders may have
 * forgotten this forwarder and give its share to the others.
 */
internal class ForwarderCount(private val time: TimeSource.WithComparableMarks) {
    private var reported: Int? = null
    private var reportedAt = time.markNow()

    /** Larger numbers that were reported before, each until the time at which it is forgotten. */
    private val earlier = ArrayDeque<Pair<Int, ComparableTimeMark>>()

    /** Largest number of the last [LIFETIME]; null without a report in [REPORT_LIFETIME]. */
    val largest: Int?
        get() {
            if (reportedAt.elapsedNow() > REPORT_LIFETIME) return null
            forget()
            return earlier.firstOrNull()?.first ?: reported
        }

    /** Records that a leader reported [count]; 0 if it does not know it. */
    fun record(count: Int) {
        val previous = reported
        if (count < 1) return
        reportedAt = time.markNow()
        if (count == previous) return
        forget()
        while (earlier.isNotEmpty() && earlier.last().first <= maxOf(count, previous ?: 0)) {
            earlier.removeLast()
        }
        if (previous != null && previous > count) earlier += previous to time.markNow() + LIFETIME
        reported = count
    }

    private fun forget() {
        while (earlier.isNotEmpty() && earlier.first().second.hasPassedNow()) earlier.removeFirst()
    }

    private companion object {
        /** Restarts of all processes and changes of the leader take less. */
        val LIFETIME = 5.minutes

        /** Several times the interval at which leaders report, and the time of an election. */
        val REPORT_LIFETIME = 10.seconds
    }
}
