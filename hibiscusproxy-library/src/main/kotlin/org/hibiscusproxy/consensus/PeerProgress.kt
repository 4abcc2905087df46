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
        val last = lastContact
        if (last == null || last < roundTime) lastContact = roundTime
    }

    fun recordResend(bytes: Int) {
        resentRequests += 1
        resentBytes += bytes
    }

    fun recordMatch(index: Long) {
        matchIndex = maxOf(matchIndex, index)
        nextIndex = maxOf(nextIndex, index + 1)
    }
}

/** An encoded snapshot that is being sent to a member, which has received [received] bytes. */
internal class SnapshotTransfer(val index: Long, val content: ByteArray) {
    var received: Int = 0
}
