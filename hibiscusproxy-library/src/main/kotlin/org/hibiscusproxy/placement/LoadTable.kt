package org.hibiscusproxy.placement

import kotlin.math.max
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.LoadReport

/**
 * What one entry knows of its targets' loads: the newest report of each with its age, and the
 * entry's own dispatches, which a report does not count until it is newer than they are.
 *
 * Lock: the table itself, held for single reads and updates; no other lock is taken inside.
 *
 * @property expiry age at which a report says nothing any more
 */
class LoadTable(
    private val timeSource: TimeSource.WithComparableMarks,
    private val expiry: Duration = 5.seconds,
) {
    private val rows = HashMap<TargetName, Row>()

    /** A report of [target] arrived. */
    @Synchronized
    fun recordReport(target: TargetName, report: LoadReport) {
        val row = row(target)
        row.report = report
        row.reportedAt = timeSource.markNow()
        row.sentSinceReport = 0
    }

    /** This entry sends an attempt to [target]. */
    @Synchronized
    fun recordDispatch(target: TargetName) {
        val row = row(target)
        row.inProgress++
        row.sentSinceReport++
    }

    /** An attempt of this entry at [target] ended or was refused. */
    @Synchronized
    fun recordEnd(target: TargetName) {
        val row = row(target)
        row.inProgress = max(0, row.inProgress - 1)
    }

    /** Age of the newest report of [target], or null if there is none. */
    @Synchronized
    fun ageOf(target: TargetName): Duration? = rows[target]?.reportedAt?.elapsedNow()

    /** Whether [target] lately reported that it takes nothing, as when its engine is down. */
    @Synchronized
    fun isClosed(target: TargetName): Boolean {
        val row = rows[target] ?: return false
        val report = row.report?.takeIf { row.reportedAt!!.elapsedNow() <= expiry }
        return report != null && report.limit == 0
    }

    /** Load of [target] as far as this entry knows it, or null if it knows nothing. */
    @Synchronized
    fun loadOf(target: TargetName): LoadReport? {
        val row = rows[target] ?: return null
        val report = row.report?.takeIf { row.reportedAt!!.elapsedNow() <= expiry }
        if (report ==
            null
        ) {
            return LoadReport(running = row.inProgress).takeIf { row.inProgress > 0 }
        }
        val known = report.running + report.queued + row.sentSinceReport
        val missing = max(0, row.inProgress - known)
        return report.copy(running = report.running + row.sentSinceReport + missing)
    }

    /** Forgets targets that are not in [present]. */
    @Synchronized
    fun retain(present: Set<TargetName>) {
        rows.keys.retainAll(present)
    }

    private fun row(target: TargetName): Row = rows.getOrPut(target) { Row() }

    private class Row {
        var report: LoadReport? = null
        var reportedAt: ComparableTimeMark? = null
        var sentSinceReport = 0
        var inProgress = 0
    }
}
