package org.hibiscusproxy.consensus

import kotlin.random.Random
import kotlin.time.ComparableTimeMark

/**
 * Tracks the last contact with a leader and the time of the next election. Its start counts as a
 * contact, since the replica may have heard a leader shortly before.
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

    /** Whether a leader was heard within the shortest election timeout. */
    fun hearsLeader(now: ComparableTimeMark): Boolean =
        now - leaderContact < settings.electionTimeout

    /** Whether no leader was heard for so long that the replica may have been removed. */
    fun isIsolated(now: ComparableTimeMark): Boolean =
        now - leaderContact > settings.electionTimeout * ISOLATION

    /** A message of the leader arrived at [now]. */
    fun heardLeader(now: ComparableTimeMark) {
        leaderContact = now
        restart(now)
    }

    /** This replica, as the leader, was accepted by a majority at [contact]. */
    fun heardMajority(contact: ComparableTimeMark) {
        leaderContact = maxOf(leaderContact, contact)
    }

    /** Draws the next deadline, between one and two election timeouts from [now]. */
    fun restart(now: ComparableTimeMark) {
        val timeout = settings.electionTimeout
        deadline = now + timeout + timeout * random.nextDouble()
    }

    private companion object {
        /** A member without a leader for this many election timeouts asks whether it is one. */
        const val ISOLATION = 3
    }
}
