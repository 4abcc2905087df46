package org.hibiscusproxy.consensus

import kotlin.time.ComparableTimeMark

/** Replication state that a leader keeps for one other member. */
internal class PeerProgress(
    val identity: Long,
    var nextIndex: Long,
    val addedAt: ComparableTimeMark,
) {
    /** Highest index that is durable at the member and matches the leader's log. */
    var matchIndex: Long = 0

    /** Sending time of the latest round that the member answered. */
    var lastContact: ComparableTimeMark? = null

    /** Sending time of the unanswered request, or null if there is none. */
    var requestSentAt: ComparableTimeMark? = null

    /** Requests sent again in a row to a member that has answered nothing since the first one. */
    private var silentResends: Int = 0

    /** Requests that were sent again because no answer came in time. */
    var resentRequests: Int = 0
        private set

    /** Encoded size in bytes of the requests in [resentRequests]. */
    var resentBytes: Long = 0
        private set

    /** The snapshot transfer in progress, if the log no longer holds the next entry. */
    var transfer: SnapshotTransfer? = null

    fun recordContact(roundTime: ComparableTimeMark?) {
        if (roundTime == null) return
        silentResends = 0
        val last = lastContact
        if (last == null || last < roundTime) lastContact = roundTime
    }

    /**
     * Whether a request may be sent: none is open, or the open one is due again. If the member has
     * answered a later heartbeat, the open one is lost. Otherwise it may still be on its way, so
     * the wait doubles with each resend.
     */
    fun maySend(now: ComparableTimeMark, settings: ReplicatedLogSettings): Boolean {
        val sentAt = requestSentAt ?: return true
        val contact = lastContact
        val isLost = contact != null && contact > sentAt
        val wait = if (isLost) {
            settings.heartbeatInterval * RESEND_INTERVALS
        } else {
            settings.electionTimeout * (1 shl minOf(silentResends, MAXIMUM_DOUBLINGS))
        }
        return now - sentAt >= wait
    }

    fun recordResend(bytes: Int) {
        silentResends += 1
        resentRequests += 1
        resentBytes += bytes
    }

    fun recordMatch(index: Long) {
        matchIndex = maxOf(matchIndex, index)
        nextIndex = maxOf(nextIndex, index + 1)
    }

    private companion object {
        /** Heartbeat intervals after which an unanswered request is sent again at the earliest. */
        const val RESEND_INTERVALS = 2

        /** Limits the wait to eight election timeouts. */
        const val MAXIMUM_DOUBLINGS = 3
    }
}

/** An encoded snapshot that is being sent to a member, which has received [received] bytes. */
internal class SnapshotTransfer(val index: Long, val content: ByteArray) {
    var received: Int = 0
}
