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

/** Admitted attempts of one target, counted in all and for each team. */
internal class RunningAttempts(private val timeSource: TimeSource.WithComparableMarks) {
    private val entries = LinkedHashMap<Attempt, Entry>()
    private val byTeam = HashMap<TeamName, Int>()

    val size: Int get() = entries.size

    /** Teams with running attempts. */
    val teams: Set<TeamName> get() = byTeam.keys

    operator fun get(attempt: Attempt): Entry? = entries[attempt]

    /** Counts an admitted attempt. */
    fun add(dispatch: Dispatch) {
        entries[dispatch.attempt] = Entry(dispatch, timeSource.markNow())
        byTeam.merge(dispatch.team, 1, Int::plus)
    }

    /** Removes and returns an attempt, or null when it does not run. */
    fun remove(attempt: Attempt): Entry? {
        val entry = entries.remove(attempt) ?: return null
        byTeam.computeIfPresent(entry.team) { _, count -> (count - 1).takeIf { it > 0 } }
        return entry
    }

    /** Running attempts of [team]. */
    fun countOf(team: TeamName): Int = byTeam[team] ?: 0

    /**
     * Places of [limit] that are [team]'s by its share among [active] teams, at least one.
     *
     * @param shareOf share of a team
     */
    fun fairPlaces(
        team: TeamName,
        active: Set<TeamName>,
        limit: Int,
        shareOf: (TeamName) -> Int,
    ): Int {
        val sum = (active + team).sumOf { max(1, shareOf(it)) }
        return max(1, ceil(limit.toDouble() * max(1, shareOf(team)) / sum).toInt())
    }

    /** One admitted attempt. */
    class Entry(dispatch: Dispatch, val since: ComparableTimeMark) {
        val team: TeamName = dispatch.team
        val fingerprint: Fingerprint = dispatch.fingerprint
        val deadline: ComparableTimeMark = since + dispatch.remainingMilliseconds.milliseconds
        var hasFirstByte = false

        /** Time since admission. */
        val age: Duration get() = since.elapsedNow()
    }
}
