package org.hibiscusproxy.consensus

import kotlin.time.ComparableTimeMark
import org.hibiscusproxy.model.ProcessName

/** The members as the leader of the present term knows them at [now]. */
internal class LeaderMemberView(
    private val state: ReplicaState,
    override val unknownIdentities: Map<ProcessName, Long>,
    private val leadership: Leadership,
    private val isReady: Boolean,
    private val now: ComparableTimeMark,
) : MemberView {
    override val membership: Membership get() = state.membership

    override fun lastContact(process: ProcessName): ComparableTimeMark? =
        leadership.lastContact(process)

    override fun isPossible(change: MembershipChange): Boolean =
        state.refusalOf(change, leadership, isReady, now) == null
}

/** Why the leader does not propose [change] at [now], or null if it does. */
internal fun ReplicaState.refusalOf(
    change: MembershipChange,
    leadership: Leadership,
    isReady: Boolean,
    now: ComparableTimeMark,
): MembershipRefusal? {
    // Two leaders' first changes could lead to majorities that do not overlap otherwise.
    if (!isReady) return MembershipRefusal.NOT_READY
    if (log.membershipIndex > commitIndex) return MembershipRefusal.CHANGE_PENDING
    membership.refusalOf(change)?.let { return it }
    val isEarly = change is MembershipChange.Promote && !leadership.isCaughtUp(change.process, now)
    if (isEarly) return MembershipRefusal.NOT_CAUGHT_UP
    val isHeard = leadership.hearsMajorityOf(membership.after(change), now)
    return if (isHeard) null else MembershipRefusal.MAJORITY_SILENT
}
