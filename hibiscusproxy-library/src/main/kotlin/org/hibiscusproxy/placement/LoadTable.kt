package org.hibiscusproxy.placement

import kotlin.math.max
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.LoadReport

/**
 * Loads of the targets as known to one entry: the latest report of each target and the entry's own
 * dispatches since that report.
 *
 * Thread-safe: every call holds the monitor of this object and acquires no other lock.
 *
 * @property expiry age from which a report is ignored
 */
class LoadTable(
    private val timeSource: TimeSource.WithComparableMarks,
    private val expiry: Duration = 5.seconds,
) {
    private val rows = HashMap<TargetName, Row>()

    /** Records the arrival of a report from [target]. */
    @Synchronized
    fun recordReport(target: TargetName, report: LoadReport) {
        val row = row(target)
        row.report = report
        row.reportedAt = timeSource.markNow()
        row.dispatchedSinceReport = 0
    }

    /** Records that this entry sent an attempt to [target]. */
    @Synchronized
    fun recordDispatch(target: TargetName) {
        val row = row(target)
        row.inProgress++
        row.dispatchedSinceReport++
    }

    /** Records that an attempt of this entry at [target] ended or was refused. */
    @Synchronized
    fun recordEnd(target: TargetName) {
        val row = row(target)
        row.inProgress = max(0, row.inProgress - 1)
    }

    /** Returns the age of the latest report from [target], or null if there is none. */
    @Synchronized
    fun ageOf(target: TargetName): Duration? = rows[target]?.reportedAt?.elapsedNow()

    /** Whether [target] reported a limit of zero, as when its engine is down, within [expiry]. */
    @Synchronized
    fun isClosed(target: TargetName): Boolean {
        val row = rows[target] ?: return false
        val report = row.report?.takeIf { row.reportedAt!!.elapsedNow() <= expiry }
        return report != null && report.limit == 0
    }

    /** Returns the estimated load of [target], or null if nothing is known. */
    @Synchronized
    fun loadOf(target: TargetName): LoadReport? {
        val row = rows[target] ?: return null
        val report = row.report?.takeIf { row.reportedAt!!.elapsedNow() <= expiry }
        if (report == null) {
            return LoadReport(running = row.inProgress).takeIf { row.inProgress > 0 }
        }
        val known = report.running + report.queued + row.dispatchedSinceReport
        val uncounted = max(0, row.inProgress - known)
        return report.copy(running = report.running + row.dispatchedSinceReport + uncounted)
    }

    /** Removes targets that are not in [present]. */
    @Synchronized
    fun retain(present: Set<TargetName>) {
        rows.keys.retainAll(present)
    }

    private fun row(target: TargetName): Row = rows.getOrPut(target) { Row() }

    private class Row {
        var report: LoadReport? = null
        var reportedAt: ComparableTimeMark? = null
        var dispatchedSinceReport = 0
        var inProgress = 0
    }
}
