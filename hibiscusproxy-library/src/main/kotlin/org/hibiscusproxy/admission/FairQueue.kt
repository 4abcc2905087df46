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
 * Waiting attempts, served by priority and within a priority by the team with the smallest
 * virtual time; an admission advances a team's virtual time by one over its share.
 *
 * @property ageing time after which a waiting attempt counts as one priority higher
 */
internal class FairQueue(
    private val timeSource: TimeSource.WithComparableMarks,
    private val ageing: Duration,
) {
    private val waiting = LinkedHashMap<Attempt, Waiting>()
    private val virtualTimes = HashMap<TeamName, Double>()
    private var now = 0.0

    val size: Int get() = waiting.size

    /** Adds an attempt at the end of its team's queue. */
    fun add(dispatch: Dispatch, expiresAt: ComparableTimeMark) {
        if (waiting.values.none { it.dispatch.team == dispatch.team }) {
            virtualTimes[dispatch.team] = max(now, virtualTimes[dispatch.team] ?: 0.0)
        }
        waiting[dispatch.attempt] = Waiting(dispatch, timeSource.markNow(), expiresAt)
    }

    /** Removes and returns the next attempt, or null when none waits. */
    fun poll(shareOf: (TeamName) -> Int): Dispatch? {
        val next = waiting.values.minWithOrNull(
            compareBy({ level(it) }, { virtualTimes.getValue(it.dispatch.team) }),
        ) ?: return null
        waiting.remove(next.dispatch.attempt)
        charge(next.dispatch.team, shareOf(next.dispatch.team))
        return next.dispatch
    }

    /** Counts an attempt of [team] that was admitted without waiting or from the queue. */
    fun charge(team: TeamName, share: Int) {
        val start = max(now, virtualTimes[team] ?: 0.0)
        now = start
        virtualTimes[team] = start + 1.0 / max(1, share)
    }

    /** Number of waiting attempts of [team]. */
    fun sizeOf(team: TeamName): Int = waiting.values.count { it.dispatch.team == team }

    /** Removes [attempt]; returns whether it waited. */
    fun remove(attempt: Attempt): Boolean = waiting.remove(attempt) != null

    /** Removes and returns attempts whose time ran out. */
    fun removeExpired(): List<Dispatch> = removeIf { it.expiresAt.hasPassedNow() }

    /** Removes and returns all attempts. */
    fun clear(): List<Dispatch> = removeIf { true }

    private fun removeIf(condition: (Waiting) -> Boolean): List<Dispatch> {
        val removed = waiting.values.filter(condition).map { it.dispatch }
        for (dispatch in removed) waiting.remove(dispatch.attempt)
        return removed
    }

    private fun level(entry: Waiting): Int {
        val aged = (entry.since.elapsedNow() / ageing).toInt()
        return max(Priority.INTERACTIVE.ordinal, entry.dispatch.priority.ordinal - aged)
    }

    private class Waiting(
        val dispatch: Dispatch,
        val since: ComparableTimeMark,
        val expiresAt: ComparableTimeMark,
    )
}
