package org.hibiscusproxy.daemon.forwarding

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Decides when to request routing that controllers have announced. The leader sends each change by
 * itself, so that a request is needed only if that fails. Safe for concurrent use.
 */
internal class RoutingRequestLimiter(private val time: TimeSource.WithComparableMarks) {
    /** Known revision that a newer one was announced for, first at [waitingSince]. */
    private var outdatedRevision = 0L
    private var waitingSince = time.markNow()

    /**
     * Whether to request the [announced] revision, given the [known] one, from the controller that
     * announced it. A [newLeader] has not sent what its predecessor may have failed to send.
     */
    @Synchronized
    fun mayRequest(announced: Long, known: Long, newLeader: Boolean): Boolean {
        if (announced <= known) return false
        if (known == 0L) return true
        val isWaiting = known == outdatedRevision
        if (isWaiting && !newLeader && waitingSince.elapsedNow() < CHANGE_TIMEOUT) return false
        outdatedRevision = known
        waitingSince = time.markNow()
        return isWaiting || newLeader
    }

    private companion object {
        /** Two announcements; short against the time within which a change has to be in force. */
        val CHANGE_TIMEOUT = 600.milliseconds
    }
}
