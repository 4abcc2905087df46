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
 * What this replica keeps in memory while it leads one term: granted leases and the reading of the
 * fleet clock. It starts anew with each term, because another leader may have acted in between.
 */
internal class LeaderTerm(
    val term: Long,
    val granter: LeaseGranter,
    base: FleetInstant,
    startedAt: ComparableTimeMark,
) {
    private val clock = LeaderClock(base, startedAt)

    /** The fleet clock at [now]. */
    fun fleetTime(now: ComparableTimeMark): FleetInstant = clock.at(now)
}

/** Follows this replica's leadership. Used by the worker only. */
internal class Leadership(
    private val log: Consensus,
    private val state: ControlState,
    private val settings: LeaseSettings,
    private val time: TimeSource.WithComparableMarks,
) {
    private var elected: Pair<Long, ComparableTimeMark>? = null
    private var started: LeaderTerm? = null

    /** The term that this replica leads with current state, or null. */
    fun active(): LeaderTerm? {
        if (log.role != ConsensusRole.LEADER || !log.isReady) return null
        val (term, electedAt) = elected ?: return null
        if (term != log.term) return null
        val present = started
        if (present != null && present.term == term) return present
        val granter = LeaseGranter(settings, electedAt)
        return LeaderTerm(term, granter, state.clock, time.markNow()).also { started = it }
    }

    /** Takes a change of role. The election was before now, so that now is safe to count from. */
    fun changed(role: ConsensusRole, term: Long) {
        if (role != ConsensusRole.LEADER) {
            elected = null
            started = null
        } else if (elected?.first != term) {
            elected = term to time.markNow()
        }
    }
}
