package org.hibiscusproxy.daemon.controller

import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource
import org.hibiscusproxy.consensus.Consensus
import org.hibiscusproxy.consensus.ConsensusRole
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.control.FleetInstant
import org.hibiscusproxy.control.LeaderClock
import org.hibiscusproxy.control.LeaseGranter
import org.hibiscusproxy.control.LeaseSettings

/**
 * Volatile state of this replica during one term as leader: granted leases and the fleet clock. It
 * is created anew for each term, because another leader may have acted in between.
 */
internal class LeaderTerm(
    val term: Long,
    val granter: LeaseGranter,
    base: FleetInstant,
    baseSeenAt: ComparableTimeMark,
) {
    private val clock = LeaderClock(base, baseSeenAt)

    /** Returns the fleet clock at [now]. */
    fun fleetTime(now: ComparableTimeMark): FleetInstant = clock.at(now)
}

/** Tracks the terms in which this replica is the leader. Used by the worker only. */
internal class Leadership(
    private val log: Consensus,
    private val state: ControlState,
    private val settings: LeaseSettings,
    private val time: TimeSource.WithComparableMarks,
) {
    private var election: Pair<Long, ComparableTimeMark>? = null
    private var currentTerm: LeaderTerm? = null
    private var clock = state.clock
    private var clockSeenAt = time.markNow()

    /**
     * Records when the fleet clock advanced. A new leader adds the time since then, so that an
     * election does not delay the deadlines of rollouts. The clock can still only be late, because
     * a command is applied after its leader read the clock.
     */
    fun observeClock() {
        if (state.clock == clock) return
        clock = state.clock
        clockSeenAt = time.markNow()
    }

    /** Returns the term in which this replica leads and its state is current, or null. */
    fun active(): LeaderTerm? {
        if (log.role != ConsensusRole.LEADER || !log.isReady) return null
        val (term, electedAt) = election ?: return null
        if (term != log.term) return null
        val current = currentTerm
        if (current != null && current.term == term) return current
        val granter = LeaseGranter(settings, electedAt)
        observeClock()
        return LeaderTerm(term, granter, clock, clockSeenAt).also { currentTerm = it }
    }

    /**
     * Records a change of role. The election took place earlier, so that the current instant is a
     * safe start for periods that count from it.
     */
    fun roleChanged(role: ConsensusRole, term: Long) {
        if (role != ConsensusRole.LEADER) {
            election = null
            currentTerm = null
        } else if (election?.first != term) {
            election = term to time.markNow()
        }
    }
}
