package org.hibiscusproxy.admission

import kotlin.math.max
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.Dispatch

/**
 * Bounded queue of waiting attempts with weighted fair queueing between teams. Attempts are served
 * by priority, then by the smallest virtual time of their team. Each admission advances a team's
 * virtual time by the reciprocal of its share. A team may hold at most as many slots as are free,
 * so a single team fills half of the queue and always leaves slots for others.
 *
 * @property capacity maximum number of waiting attempts over all teams
 * @property ageing waiting time that raises an attempt by one priority
 */
internal class FairQueue(
    private val timeSource: TimeSource.WithComparableMarks,
    private val capacity: Int,
    private val ageing: Duration,
) {
    private val entries = LinkedHashMap<Attempt, QueueEntry>()
    private val virtualTimes = HashMap<TeamName, Double>()
    private var virtualNow = 0.0

    val size: Int get() = entries.size

    /** Teams with queued attempts. */
    val teams: Set<TeamName> get() = entries.values.mapTo(HashSet()) { it.dispatch.team }

    /** Appends an attempt to its team's queue, or returns false if there is no free slot. */
    fun add(dispatch: Dispatch, expiresAt: ComparableTimeMark): Boolean {
        val ofTeam = entries.values.count { it.dispatch.team == dispatch.team }
        if (ofTeam >= capacity - entries.size) return false
        if (ofTeam == 0) {
            // An idle team accumulates no credit.
            virtualTimes[dispatch.team] = max(virtualNow, virtualTimes[dispatch.team] ?: 0.0)
        }
        entries[dispatch.attempt] = QueueEntry(dispatch, timeSource.markNow(), expiresAt)
        return true
    }

    /** Removes and returns the next attempt of a team that passes [mayRun], or null if none. */
    fun poll(shareOf: (TeamName) -> Int, mayRun: (TeamName) -> Boolean = { true }): Dispatch? {
        val next = entries.values.filter { mayRun(it.dispatch.team) }.minWithOrNull(
            compareBy({ effectivePriority(it) }, { virtualTimes.getValue(it.dispatch.team) }),
        ) ?: return null
        entries.remove(next.dispatch.attempt)
        charge(next.dispatch.team, shareOf(next.dispatch.team))
        return next.dispatch
    }

    /** Advances the virtual time of [team] for an admission, whether or not it was queued. */
    fun charge(team: TeamName, share: Int) {
        val start = max(virtualNow, virtualTimes[team] ?: 0.0)
        if (team in teams || entries.isEmpty()) virtualNow = start
        virtualTimes[team] = start + 1.0 / max(1, share)
        // A virtual time in the past has no effect, so idle teams can be dropped to bound memory.
        if (virtualTimes.size > PRUNE_THRESHOLD_TEAMS) virtualTimes.keys.removeIf { isIdle(it) }
    }

    /** Removes [attempt] and returns whether it was queued. */
    fun remove(attempt: Attempt): Boolean = entries.remove(attempt) != null

    /** Removes and returns attempts whose queue time has expired. */
    fun removeExpired(): List<Dispatch> = removeIf { it.expiresAt.hasPassedNow() }

    /** Removes and returns all attempts. */
    fun clear(): List<Dispatch> = removeIf { true }

    private fun isIdle(team: TeamName): Boolean =
        team !in teams && virtualTimes.getValue(team) <= virtualNow

    private fun removeIf(condition: (QueueEntry) -> Boolean): List<Dispatch> {
        val removed = entries.values.filter(condition).map { it.dispatch }
        for (dispatch in removed) entries.remove(dispatch.attempt)
        return removed
    }

    /** Ordinal of the entry's priority after ageing; lower ordinals are served first. */
    private fun effectivePriority(entry: QueueEntry): Int {
        val raisedBy = (entry.since.elapsedNow() / ageing).toInt()
        return max(Priority.INTERACTIVE.ordinal, entry.dispatch.priority.ordinal - raisedBy)
    }

    private class QueueEntry(
        val dispatch: Dispatch,
        val since: ComparableTimeMark,
        val expiresAt: ComparableTimeMark,
    )

    private companion object {
        const val PRUNE_THRESHOLD_TEAMS = 1_000
    }
}
