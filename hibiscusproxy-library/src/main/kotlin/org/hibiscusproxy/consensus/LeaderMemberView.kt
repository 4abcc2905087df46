package org.hibiscusproxy.consensus

import kotlin.time.ComparableTimeMark
import org.hibiscusproxy.model.ProcessName

/** The current leader's view of the members at [now]. */
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

/** Why the leader refuses to propose [change] at [now], or null if it would propose it. */
internal fun ReplicaState.refusalOf(
    change: MembershipChange,
    leadership: Leadership,
    isReady: Boolean,
    now: ComparableTimeMark,
): MembershipRefusal? {
    // Without this, the first changes of two leaders could lead to majorities that do not overlap.
    if (!isReady) return MembershipRefusal.NOT_READY
    if (log.membershipIndex > commitIndex) return MembershipRefusal.CHANGE_PENDING
    membership.refusalOf(change)?.let { return it }
    val isBehind = change is MembershipChange.Promote && !leadership.isCaughtUp(change.process, now)
    if (isBehind) return MembershipRefusal.NOT_CAUGHT_UP
    val canCommit = leadership.reachesCommitOf(membership.after(change), now)
    return if (canCommit) null else MembershipRefusal.MAJORITY_SILENT
}
