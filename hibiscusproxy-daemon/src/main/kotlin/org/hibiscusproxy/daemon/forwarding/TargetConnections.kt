package org.hibiscusproxy.daemon.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The connections to one target that are open, and those that it closed a moment ago. They tell a
 * target that ended, which loses all of them, from one that broke a single connection off.
 */
internal class TargetConnections(private val time: TimeSource.WithComparableMarks) {
    private val openedAt = LinkedHashMap<TargetConnection, ComparableTimeMark>()
    private val lostAt = ArrayDeque<ComparableTimeMark>()

    /** Whether nothing is known that [hasOpen] or [lost] could tell. */
    val isEmpty: Boolean
        get() {
            forget()
            return openedAt.isEmpty() && lostAt.isEmpty()
        }

    fun recordOpened(connection: TargetConnection) {
        openedAt[connection] = time.markNow()
    }

    fun recordClosed(connection: TargetConnection) {
        openedAt -= connection
        if (connection.isLost) lostAt.addLast(time.markNow())
        forget()
    }

    /** Whether a connection that was opened before [moment] is open, as far as it is read. */
    fun hasOpen(moment: ComparableTimeMark): Boolean =
        openedAt.any { (connection, openedAt) -> openedAt < moment && connection.isRead }

    /** Number of connections that the target closed at [moment] or later. */
    fun lost(moment: ComparableTimeMark): Int = lostAt.count { it >= moment }

    private fun forget() {
        while (lostAt.isNotEmpty() && lostAt.first().elapsedNow() > RETENTION) lostAt.removeFirst()
    }

    private companion object {
        /** Longer than it takes to find out whether a target has ended. */
        val RETENTION: Duration = 2.seconds
    }
}
