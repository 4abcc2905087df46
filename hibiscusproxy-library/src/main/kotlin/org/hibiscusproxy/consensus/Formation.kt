package org.hibiscusproxy.consensus

import kotlin.time.ComparableTimeMark
import org.hibiscusproxy.model.ProcessName

/**
 * How a cluster starts from a list of names. A replica without a cluster introduces itself to the
 * names of its bootstrap list. The one with the lowest name founds the cluster once all of them
 * have answered, with their identities, that they belong to no cluster either. The founding entry
 * (index 1, term 0) holds all identities and is the first membership.
 *
 * All of them must answer, because a majority is not enough: with A and B having committed entries
 * that C has not received yet, B losing its disk and A being down, B and C would both look new and
 * could found a second cluster without those entries. While one member of the first cluster still
 * has its disk and is reachable it answers that it belongs to a cluster, and while it is not
 * reachable it does not answer; both prevent a second founding. A replica belongs to the first
 * cluster that it learns of for as long as its disk exists, and an answer counts only if it names
 * the identity of the asker, so answers to a founder that lost its disk are void.
 */
internal class Formation(private val state: ReplicaState) {
    private val candidates = mutableMapOf<ProcessName, Long>()
    private val known = sortedMapOf<ProcessName, Long>(compareBy { it.value })
    private val introducedLast = mutableMapOf<ProcessName, ComparableTimeMark>()
    private val contacts = linkedSetOf<ProcessName>()
    private var introducedAt: ComparableTimeMark? = null
    private var latest: ComparableTimeMark? = null

    /** Identities that introduced themselves and are not those of members, by name. */
    val unknownIdentities: Map<ProcessName, Long>
        get() = known.filter { (process, identity) ->
            !state.membership.contains(process, identity)
        }

    /** Unknown processes that introduced themselves within [UNKNOWN_IDENTITY_INTERVALS] before [now]. */
    fun recentUnknownIdentities(now: ComparableTimeMark): Map<ProcessName, Long> {
        val lifetime = state.settings.heartbeatInterval * UNKNOWN_IDENTITY_INTERVALS
        return unknownIdentities.filterKeys { process ->
            introducedLast[process]?.let { now - it <= lifetime } ?: false
        }
    }

    /**
     * Founds the cluster or asks the others, if this replica belongs to no cluster. A member that
     * hears no leader ([isIsolated]) introduces itself too, since it may have been removed.
     */
    fun tick(now: ComparableTimeMark, isIsolated: Boolean = false) {
        latest = now
        if (isMember() && !isIsolated) return
        if (!state.hasCluster && state.settings.mayFound) tryToFound()
        if (isMember() && !isIsolated) return
        val last = introducedAt
        if (last != null && now - last < state.settings.heartbeatInterval * INTERVALS) return
        introducedAt = now
        others().forEach { state.send(it, Introduction(state.identity, state.cluster)) }
    }

    fun addContacts(processes: List<ProcessName>) {
        contacts.addAll(processes)
    }

    fun receive(sender: ProcessName, message: Introduction) {
        known[sender] = message.identity
        latest?.let { introducedLast[sender] = it }
        val founding = state.log.takeIf { it.baseIndex == 0L && it.lastIndex > 0 }?.get(1)?.content
        if (message.cluster == NO_IDENTITY &&
            founding is EntryContent.MembershipEntry &&
            founding.membership.contains(sender, message.identity)
        ) {
            state.send(sender, Founding(state.cluster, message.identity, founding.membership))
        } else {
            val members = state.membership.members.keys.toList()
            val reply = IntroductionReply(message.identity, state.identity, state.cluster, members)
            state.send(sender, reply)
        }
    }

    fun receive(sender: ProcessName, message: IntroductionReply) {
        if (message.asker != state.identity) return
        contacts.addAll(message.members)
        if (message.cluster == NO_IDENTITY) {
            candidates[sender] = message.identity
        } else {
            candidates.remove(sender)
        }
    }

    fun receive(message: Founding) {
        if (state.hasCluster || message.receiver != state.identity) return
        if (!message.membership.contains(state.name, state.identity)) return
        join(message.cluster, message.membership)
    }

    private fun tryToFound() {
        val names = state.settings.bootstrap
        if (names.minByOrNull { it.value } != state.name) return
        if (!candidates.keys.containsAll(names.filter { it != state.name })) return
        val membership = Membership(
            names.sortedBy { it.value }.associateWith {
                val identity = if (it == state.name) state.identity else candidates.getValue(it)
                Member(identity, isVoter = true)
            },
        )
        join(drawCluster(), membership)
        membership.members.filterKeys { it != state.name }.forEach { (process, member) ->
            state.send(process, Founding(state.cluster, member.identity, membership))
        }
    }

    private fun join(cluster: Long, membership: Membership) {
        state.update(state.hardState.copy(cluster = cluster))
        state.log.append(LogEntry(0, 1, EntryContent.MembershipEntry(membership)))
    }

    private fun drawCluster(): Long {
        var cluster = state.random.nextLong()
        while (cluster == NO_IDENTITY) cluster = state.random.nextLong()
        return cluster
    }

    private fun isMember() =
        state.hasCluster && state.membership.contains(state.name, state.identity)

    private fun others(): List<ProcessName> =
        (state.settings.bootstrap + contacts + state.membership.members.keys)
            .distinct()
            .filter { it != state.name }

    private companion object {
        /** A replica without a membership introduces itself after this many intervals again. */
        const val INTERVALS = 2

        /** A process that introduces itself is remembered as present for this many intervals. */
        const val UNKNOWN_IDENTITY_INTERVALS = 10
    }
}
