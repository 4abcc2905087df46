package org.hibiscusproxy.consensus

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.ProcessName

/**
 * The members of the cluster, by name and identity. A message is accepted only from the identity
 * listed here, so a process that lost its disk is no longer the member of that name.
 */
@Serializable
data class Membership(@SerialName("m") val members: Map<ProcessName, Member>) {
    /** Names of the voting members. */
    val voters: List<ProcessName>
        get() = members.filterValues { it.isVoter }.keys.toList()

    /** Number of voters that form a majority. */
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

    /** The membership after [change], which must have passed [refusalOf]. */
    fun after(change: MembershipChange): Membership = when (change) {
        is MembershipChange.AddNonVoter ->
            Membership(members + (change.process to Member(change.identity, isVoter = false)))

        is MembershipChange.Promote -> {
            val member = members.getValue(change.process)
            Membership(members + (change.process to member.copy(isVoter = true)))
        }

        is MembershipChange.Remove -> Membership(members - change.process)
    }

    /** Why [change] is invalid for this membership, or null if it is valid. */
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
        /** The membership of a replica that belongs to no cluster yet. */
        val EMPTY: Membership = Membership(emptyMap())
    }
}

/** One member of a cluster. */
@Serializable
data class Member(@SerialName("i") val identity: Long, @SerialName("v") val isVoter: Boolean)

/** Denotes no identity or no cluster; never generated as either. */
internal const val NO_IDENTITY = 0L
