package org.hibiscusproxy.consensus

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import org.hibiscusproxy.model.ProcessName

/**
 * Decides membership changes without an operator, one at a time, at the leader:
 * - a process that introduces itself under a member's name with another identity has lost its
 *   disk: the old identity is removed and the new one added as a non-voter;
 * - a process with a new name is added as a non-voter;
 * - a non-voter that has caught up is promoted;
 * - a member that has been silent for [unreachableLimit] is removed, but only while at least
 *   [minimumVoters] voters stay.
 *
 * A vote is never counted twice, because votes belong to identities, and an identity is lost with its
 * disk. A process without its disk votes only after a leader that holds every committed entry has
 * sent them to it. Keeping [minimumVoters] (twice the tolerated losses and one) means that a
 * member that is away with its disk still counts if another one loses its disk meanwhile.
 */
class MembershipReconciler(private val minimumVoters: Int, private val unreachableLimit: Duration) {
    init {
        require(minimumVoters > 0) { "minimumVoters: $minimumVoters" }
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
        return membership.members.keys
            .filter { now - (view.lastContact(it) ?: return@filter false) > unreachableLimit }
            .filter { !membership.members.getValue(it).isVoter || canSpareVoter(membership) }
            .map { MembershipChange.Remove(it) }
            .firstOrNull(view::isPossible)
    }

    private fun canSpareVoter(membership: Membership) = membership.voters.size > minimumVoters
}

/** What a leader knows of the members. */
interface MemberView {
    /** The newest membership. */
    val membership: Membership

    /** Processes that recently introduced themselves with an identity of no member. */
    val unknownIdentities: Map<ProcessName, Long>

    /** When [process] last answered, or was added if it has not; null for the leader. */
    fun lastContact(process: ProcessName): ComparableTimeMark?

    /** Whether the leader would propose [change] now. */
    fun isPossible(change: MembershipChange): Boolean
}
