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
 * virtual time; an admission advances a team's virtual time by one over its share. A team may
 * use no more than the places that are still free, so one team fills half of the queue and
 * always leaves places for others.
 *
 * @property capacity waiting attempts over all teams
 * @property ageing time after which a waiting attempt counts as one priority higher
 */
internal class FairQueue(
    private val timeSource: TimeSource.WithComparableMarks,
    private val capacity: Int,
    private val ageing: Duration,
) {
    private val waiting = LinkedHashMap<Attempt, Waiting>()
    private val virtualTimes = HashMap<TeamName, Double>()
    private var virtualNow = 0.0

    val size: Int get() = waiting.size

    /** Teams with waiting attempts. */
    val teams: Set<TeamName> get() = waiting.values.mapTo(HashSet()) { it.dispatch.team }

    /** Adds an attempt at the end of its team's queue, or returns false when there is no place. */
    fun add(dispatch: Dispatch, expiresAt: ComparableTimeMark): Boolean {
        val ofTeam = waiting.values.count { it.dispatch.team == dispatch.team }
        if (ofTeam >= capacity - waiting.size) return false
        if (ofTeam == 0) {
            // A team that was idle gains no credit for the time it did not use.
            virtualTimes[dispatch.team] = max(virtualNow, virtualTimes[dispatch.team] ?: 0.0)
        }
        waiting[dispatch.attempt] = Waiting(dispatch, timeSource.markNow(), expiresAt)
        return true
    }

    /** Removes and returns the next attempt of a team that [mayRun], or null when none does. */
    fun poll(shareOf: (TeamName) -> Int, mayRun: (TeamName) -> Boolean = { true }): Dispatch? {
        val next = waiting.values.filter { mayRun(it.dispatch.team) }.minWithOrNull(
            compareBy({ level(it) }, { virtualTimes.getValue(it.dispatch.team) }),
        ) ?: return null
        waiting.remove(next.dispatch.attempt)
        charge(next.dispatch.team, shareOf(next.dispatch.team))
        return next.dispatch
    }

    /** Counts an admission of [team], with or without waiting. */
    fun charge(team: TeamName, share: Int) {
        val start = max(virtualNow, virtualTimes[team] ?: 0.0)
        if (team in teams || waiting.isEmpty()) virtualNow = start
        virtualTimes[team] = start + 1.0 / max(1, share)
        // Times in the past equal none, so teams that left do not take memory for good.
        if (virtualTimes.size > FORGET_ABOVE_TEAMS) virtualTimes.keys.removeIf { isIdle(it) }
    }

    /** Removes [attempt]; returns whether it waited. */
    fun remove(attempt: Attempt): Boolean = waiting.remove(attempt) != null

    /** Removes and returns attempts whose time ran out. */
    fun removeExpired(): List<Dispatch> = removeIf { it.expiresAt.hasPassedNow() }

    /** Removes and returns all attempts. */
    fun clear(): List<Dispatch> = removeIf { true }

    private fun isIdle(team: TeamName): Boolean =
        team !in teams && virtualTimes.getValue(team) <= virtualNow

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

    private companion object {
        const val FORGET_ABOVE_TEAMS = 1_000
    }
}
