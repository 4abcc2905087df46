package org.hibiscusproxy.consensus

import org.hibiscusproxy.model.ProcessName

/**
 * Numbers of voters of a [membership] that commits and elections need, such that every entry
 * survives the loss of as many disks as are tolerated.
 *
 * A commit needs `C`, the larger of a majority and the tolerated losses plus one; at most all
 * voters. With twice the tolerated losses plus one voters this is the majority. A voter whose
 * identity is known to be lost will never vote or acknowledge again, so a commit and an election
 * may also be carried by all others. An election needs more than `N - C` votes besides, so that it
 * meets every commit. `docs/consensus-testing.md` has the argument.
 */
internal class Quorums(membership: Membership, lost: Set<Long>, toleratedLosses: Int) {
    private val voterCount = membership.voters.size
    private val fullCommit = maxOf(membership.majority, minOf(voterCount, toleratedLosses + 1))

    /** Voters whose identity is not known to be lost. */
    val present: Set<ProcessName> = membership.members
        .filterValues { it.isVoter && it.identity !in lost }
        .keys

    /** Number of [present] voters that hold a committed entry. */
    val commit: Int = minOf(fullCommit, present.size).coerceAtLeast(1)

    /** Number of [present] voters that elect a leader. */
    val election: Int =
        maxOf(minOf(membership.majority, present.size), voterCount - fullCommit + 1)
            .coerceAtLeast(1)

    /** Number of [present] voters whose contact with a leader rules out another one. */
    val contact: Int = minOf(membership.majority, present.size).coerceAtLeast(1)
}
