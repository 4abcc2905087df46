package org.hibiscusproxy.admission

import kotlin.math.ceil
import kotlin.math.max
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.Dispatch
import org.hibiscusproxy.protocol.Fingerprint

/** Admitted attempts of one target, with counts in total and per team. */
internal class RunningAttempts(private val timeSource: TimeSource.WithComparableMarks) {
    private val entries = LinkedHashMap<Attempt, Entry>()
    private val byTeam = HashMap<TeamName, Int>()

    val size: Int get() = entries.size

    /** Teams with running attempts. */
    val teams: Set<TeamName> get() = byTeam.keys

    operator fun get(attempt: Attempt): Entry? = entries[attempt]

    /** Adds an admitted attempt. */
    fun add(dispatch: Dispatch) {
        entries[dispatch.attempt] = Entry(dispatch, timeSource.markNow())
        byTeam.merge(dispatch.team, 1, Int::plus)
    }

    /** Removes and returns an attempt, or returns null if it is not running. */
    fun remove(attempt: Attempt): Entry? {
        val entry = entries.remove(attempt) ?: return null
        byTeam.computeIfPresent(entry.team) { _, count -> (count - 1).takeIf { it > 0 } }
        return entry
    }

    /** Number of running attempts of [team]. */
    fun countOf(team: TeamName): Int = byTeam[team] ?: 0

    /**
     * Fair number of the [limit] slots for [team] by its share among the [active] teams, at least
     * one.
     */
    fun fairSlots(
        team: TeamName,
        active: Set<TeamName>,
        limit: Int,
        shareOf: (TeamName) -> Int,
    ): Int {
        val sum = (active + team).sumOf { max(1, shareOf(it)) }
        return max(1, ceil(limit.toDouble() * max(1, shareOf(team)) / sum).toInt())
    }

    /** An admitted attempt. */
    class Entry(dispatch: Dispatch, val since: ComparableTimeMark) {
        val team: TeamName = dispatch.team
        val fingerprint: Fingerprint = dispatch.fingerprint
        val deadline: ComparableTimeMark = since + dispatch.remainingMilliseconds.milliseconds
        var hasFirstByte = false

        /** Time since admission. */
        val age: Duration get() = since.elapsedNow()
    }
}
