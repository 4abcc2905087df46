package org.hibiscusproxy.admission

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.hibiscusproxy.protocol.Attempt

/** Attempts seen within [retention], so that none of them is admitted a second time. */
internal class AttemptHistory(
    private val timeSource: TimeSource.WithComparableMarks,
    private val retention: Duration,
) {
    private val seen = LinkedHashMap<Attempt, ComparableTimeMark>()

    /** Returns false when [attempt] was seen before. */
    fun record(attempt: Attempt): Boolean {
        expire()
        if (attempt in seen) return false
        seen[attempt] = timeSource.markNow()
        return true
    }

    private fun expire() {
        val entries = seen.entries.iterator()
        while (entries.hasNext()) {
            if (entries.next().value.elapsedNow() <= retention) return
            entries.remove()
        }
    }
}
