package org.hibiscusproxy.consensus

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.ProcessName

/**
 * Who belongs to the cluster, by name and identity. A message of a process counts only if it comes
 * from the identity given here, so a process that lost its disk is not the member it used to be.
 */
@Serializable
data class Membership(@SerialName("m") val members: Map<ProcessName, Member>) {
    /** Names of the members that vote. */
    val voters: List<ProcessName>
        get() = members.filterValues { it.isVoter }.keys.toList()

    /** Number of voters that make a majority. */
    val majority: Int
        get() = voters.size / 2 + 1

    /** Whether [process] with [identity] is a voter. */
    fun isVoter(process: ProcessName, identity: Long): Boolean {
        val member = members[process] ?: return false
        return member.isVoter && member.identity == identity
    }

    /** Whether [process] with [identity] is a member. */
    fun contains(process: ProcessName, identity: Long): Boolean =
        members[process]?.identity == identity

    /** The membership after [change], which the caller has checked with [refusalOf]. */
    fun after(change: MembershipChange): Membership = when (change) {
        is MembershipChange.AddNonVoter ->
            Membership(members + (change.process to Member(change.identity, isVoter = false)))

        is MembershipChange.Promote -> {
            val member = members.getValue(change.process)
            Membership(members + (change.process to member.copy(isVoter = true)))
        }

        is MembershipChange.Remove -> Membership(members - change.process)
    }

    /** Why [change] does not fit this membership, or null if it does. */
    fun refusalOf(change: MembershipChange): MembershipRefusal? = when (change) {
        is MembershipChange.AddNonVoter -> when {
            change.identity == NO_IDENTITY -> MembershipRefusal.INVALID_IDENTITY
            change.process in members -> MembershipRefusal.NAME_IN_USE
            members.values.any { it.identity == change.identity } ->
                MembershipRefusal.IDENTITY_IN_USE
            else -> null
        }

        is MembershipChange.Promote -> when {
            change.process !in members -> MembershipRefusal.UNKNOWN_MEMBER
            members.getValue(change.process).isVoter -> MembershipRefusal.ALREADY_VOTER
            else -> null
        }

        is MembershipChange.Remove -> when {
            change.process !in members -> MembershipRefusal.UNKNOWN_MEMBER
            voters == listOf(change.process) -> MembershipRefusal.LAST_VOTER
            else -> null
        }
    }

    companion object {
        /** The membership that a replica knows before it belongs to a cluster. */
        val EMPTY: Membership = Membership(emptyMap())
    }
}

/** One member of a cluster. */
@Serializable
data class Member(@SerialName("i") val identity: Long, @SerialName("v") val isVoter: Boolean)

/** Stands for no identity and no cluster; never drawn as either. */
internal const val NO_IDENTITY = 0L
