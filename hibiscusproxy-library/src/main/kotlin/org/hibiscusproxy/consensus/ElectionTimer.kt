package org.hibiscusproxy.consensus

import kotlin.random.Random
import kotlin.time.ComparableTimeMark

/**
 * Tracks the last contact with a leader and the time of the next election. The start counts as a
 * contact, since the replica may have had contact with a leader shortly before a restart.
 */
internal class ElectionTimer(
    private val settings: ReplicatedLogSettings,
    private val random: Random,
    now: ComparableTimeMark,
) {
    private var leaderContact = now
    private var deadline = now

    init {
        restart(now)
    }

    /** Whether an election is due. */
    fun isDue(now: ComparableTimeMark): Boolean = now >= deadline

    /** Whether there was contact with a leader within the minimum election timeout. */
    fun hasRecentLeader(now: ComparableTimeMark): Boolean =
        now - leaderContact < settings.electionTimeout

    /**
     * Whether there was no contact with a leader for so long that the replica may have been
     * removed.
     */
    fun isIsolated(now: ComparableTimeMark): Boolean =
        now - leaderContact > settings.electionTimeout * ISOLATION_TIMEOUTS

    /** Records a message from the leader at [now]. */
    fun recordLeaderContact(now: ComparableTimeMark) {
        leaderContact = now
        restart(now)
    }

    /** Records that a majority accepted this replica as the leader at [contact]. */
    fun recordMajorityContact(contact: ComparableTimeMark) {
        leaderContact = maxOf(leaderContact, contact)
    }

    /** Sets the next deadline, at random between one and two election timeouts from [now]. */
    fun restart(now: ComparableTimeMark) {
        val timeout = settings.electionTimeout
        deadline = now + timeout + timeout * random.nextDouble()
    }

    private companion object {
        /**
         * A member without a leader for this many election timeouts checks whether it was removed.
         */
        const val ISOLATION_TIMEOUTS = 3
    }
}
