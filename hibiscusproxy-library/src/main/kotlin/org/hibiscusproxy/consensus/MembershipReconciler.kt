package org.hibiscusproxy.consensus

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.model.ProcessName

/**
 * Decides membership changes at the leader without an operator, one at a time:
 * - a process that announces itself under a member's name with another identity has lost its disk:
 *   the old identity is removed and the new one added as a non-voter;
 * - a process with a new name is added as a non-voter;
 * - a non-voter that has caught up is promoted;
 * - a non-voter that has not answered for [unreachableLimit] is removed;
 * - while a process with a new name cannot be added, a voter that has not answered for
 *   [unreachableLimit] is removed: it is taken to be replaced by that process;
 * - while there are more than [minimumVoters] voters, one that has not answered for
 *   [surplusVoterLimit] is removed, the one that has been silent for longest first.
 *
 * The voter that a new one replaces is silent by then and must not stay: it raises the majority
 * without ever voting, so that the loss of one more voter would leave none.
 *
 * No vote counts twice, because votes belong to identities, and an identity is lost with its disk.
 * A process that lost its disk votes only after a leader with every committed entry has sent them
 * to it. Keeping [minimumVoters] (twice the tolerated losses plus one) voters ensures that an
 * unreachable member with an intact disk still counts if another one loses its disk meanwhile.
 */
class MembershipReconciler(
    private val minimumVoters: Int,
    private val unreachableLimit: Duration,
    private val surplusVoterLimit: Duration = DEFAULT_SURPLUS_VOTER_LIMIT,
) {
    init {
        require(minimumVoters > 0) { "minimumVoters must be positive: $minimumVoters" }
    }

    /** The change to propose now, or null. */
    fun next(view: MemberView, now: ComparableTimeMark): MembershipChange? {
        val members = view.membership.members
        val unknown = view.unknownIdentities.entries.minByOrNull { it.key.value }
        if (unknown != null) {
            val (process, identity) = unknown
            val change = if (process in members) {
                MembershipChange.Remove(process)
            } else {
                MembershipChange.AddNonVoter(process, identity)
            }
            if (view.isPossible(change)) return change
        }
        return promotion(view) ?: removal(view, now)
    }

    private fun promotion(view: MemberView): MembershipChange? = view.membership.members
        .filterValues { !it.isVoter }
        .keys
        .map { MembershipChange.Promote(it) }
        .firstOrNull(view::isPossible)

    private fun removal(view: MemberView, now: ComparableTimeMark): MembershipChange? {
        val membership = view.membership
        val hasSurplusVoter = membership.voters.size > minimumVoters
        val hasSuccessor = view.unknownIdentities.keys.any { it !in membership.members }
        return membership.members.keys
            .mapNotNull { process -> view.lastContact(process)?.let { process to now - it } }
            .filter { (process, silence) ->
                when {
                    !membership.members.getValue(process).isVoter -> silence > unreachableLimit
                    hasSurplusVoter && silence > surplusVoterLimit -> true
                    else -> hasSuccessor && silence > unreachableLimit
                }
            }
            .sortedByDescending { (_, silence) -> silence }
            .map { (process, _) -> MembershipChange.Remove(process) }
            .firstOrNull(view::isPossible)
    }

    private companion object {
        /** Longer than a pause of a running process; a removed member that returns rejoins. */
        val DEFAULT_SURPLUS_VOTER_LIMIT = 1.seconds
    }
}

/** A leader's view of the members. */
interface MemberView {
    /** The latest membership. */
    val membership: Membership

    /** Recently announced identities that are not those of members, by name. */
    val unknownIdentities: Map<ProcessName, Long>

    /**
     * Since when [process] has not answered although the leader ran: its last answer, or when it was
     * added or the leader resumed after a delay. Null for the leader.
     */
    fun lastContact(process: ProcessName): ComparableTimeMark?

    /** Whether the leader would propose [change] now. */
    fun isPossible(change: MembershipChange): Boolean
}
