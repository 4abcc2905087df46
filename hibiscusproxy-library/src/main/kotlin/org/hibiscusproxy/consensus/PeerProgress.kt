package org.hibiscusproxy.consensus

import kotlin.time.ComparableTimeMark

/** What a leader knows about one other member. */
internal class PeerProgress(
    val identity: Long,
    var nextIndex: Long,
    val addedAt: ComparableTimeMark,
) {
    /** Newest index that the member holds durably and that matches the leader's log. */
    var matchIndex: Long = 0

    /** Sending time of the newest round that the member answered. */
    var contact: ComparableTimeMark? = null

    /** When the request that is not answered yet was sent, or null if there is none. */
    var awaitingSince: ComparableTimeMark? = null

    /** The snapshot that is being sent, if the log does not reach back far enough. */
    var transfer: SnapshotTransfer? = null

    fun heard(roundTime: ComparableTimeMark?) {
        if (roundTime == null) return
        val known = contact
        if (known == null || known < roundTime) contact = roundTime
    }

    fun matched(index: Long) {
        matchIndex = maxOf(matchIndex, index)
        nextIndex = maxOf(nextIndex, index + 1)
    }
}

/** An encoded snapshot on its way to a member, which has [received] bytes of it. */
internal class SnapshotTransfer(val index: Long, val content: ByteArray) {
    var received: Int = 0
}
