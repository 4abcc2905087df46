package org.hibiscusproxy.admission

import org.hibiscusproxy.model.TeamName

/**
 * Callers of one team that send requests of one kind, and what became of these.
 *
 * @property perSecond rate of new requests; the tests change it
 */
internal class CallerGroup(val rank: Int, val team: String, var perSecond: Double) {
    val key = RequestClass(rank, TeamName(team))

    /** New requests, without those that come back after a refusal. */
    var sent = 0

    /** Requests that were answered within their objective. */
    var served = 0
}

/** Share of the requests of these groups that were served. */
internal fun List<CallerGroup>.servedShare(): Double =
    sumOf { it.served }.toDouble() / sumOf { it.sent }.coerceAtLeast(1)
