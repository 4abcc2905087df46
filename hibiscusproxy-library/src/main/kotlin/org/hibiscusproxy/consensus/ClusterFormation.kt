package org.hibiscusproxy.consensus

import kotlin.time.ComparableTimeMark
import org.hibiscusproxy.model.ProcessName

/**
 * Creates a cluster from a list of names. A replica without a cluster announces itself to the
 * processes of its bootstrap list. The one with the lowest name creates the cluster once all of
 * them have replied, with their identities, that they belong to no cluster either. The first entry
 * (index 1, term 0) is the initial membership with all identities.
 *
 * All of them must reply, because a majority is not enough: if A and B have committed entries that
 * C has not received yet, B loses its disk and A is down, then B and C both look new and could
 * create a second cluster without those entries. A member of the first cluster that still has its
 * disk prevents this: it replies that it belongs to a cluster, or does not reply while it is
 * unreachable. A process without a disk replies as an observer and is left out. A replica belongs
 * to the first cluster that it learns of for as long as its disk exists. A reply counts only if it
 * carries the identity of the asker, so replies to a process that has since lost its disk are
 * ignored.
 */
internal class ClusterFormation(private val state: ReplicaState) {
    private val candidates = mutableMapOf<ProcessName, Long>()
    private val announcedIdentities = sortedMapOf<ProcessName, Long>(compareBy { it.value })
    private val lastAnnouncements = mutableMapOf<ProcessName, ComparableTimeMark>()
    private val contacts = linkedSetOf<ProcessName>()

    /** Identities that other replicas list under this replica's name, and which its disk replaced. */
    private val earlierIdentities = linkedSetOf<Long>()
    private var announcedAt: ComparableTimeMark? = null
    private var lastTick: ComparableTimeMark? = null

    /** Announced identities that are not those of members, by name. */
    val unknownIdentities: Map<ProcessName, Long>
        get() = announcedIdentities.filter { (process, identity) ->
            !state.membership.contains(process, identity)
        }

    /** Unknown identities announced within [UNKNOWN_IDENTITY_INTERVALS] before [now]. */
    fun recentUnknownIdentities(now: ComparableTimeMark): Map<ProcessName, Long> {
        val lifetime = state.settings.heartbeatInterval * UNKNOWN_IDENTITY_INTERVALS
        return unknownIdentities.filterKeys { process ->
            lastAnnouncements[process]?.let { now - it <= lifetime } ?: false
        }
    }

    /**
     * Creates the cluster or announces this replica, if it belongs to no cluster. A member without
     * contact with a leader ([isIsolated]) announces itself too, since it may have been removed.
     */
    fun tick(now: ComparableTimeMark, isIsolated: Boolean = false) {
        lastTick = now
        if (isMember() && !isIsolated) return
        if (!state.hasCluster && state.settings.mayFound) createClusterIfPossible()
        if (isMember() && !isIsolated) return
        val last = announcedAt
        val intervals =
            if (state.isObserver) OBSERVER_ANNOUNCEMENT_INTERVALS else ANNOUNCEMENT_INTERVALS
        val interval = state.settings.heartbeatInterval * intervals
        if (last != null && now - last < interval) return
        announcedAt = now
        val announcement =
            Announcement(state.identity, state.cluster, earlierIdentities.toList())
        otherProcesses().forEach { state.send(it, announcement) }
    }

    /** Processes that may be members, for a replica that knows no membership. */
    val knownProcesses: Set<ProcessName> get() = contacts

    fun addContacts(processes: List<ProcessName>) {
        contacts.addAll(processes)
    }

    fun receive(sender: ProcessName, message: Announcement) {
        if (message.identity != NO_IDENTITY) announcedIdentities[sender] = message.identity
        lastTick?.let { lastAnnouncements[sender] = it }
        state.recordLost(message.lost)
        val first = state.log.takeIf { it.baseIndex == 0L && it.lastIndex > 0 }?.get(1)?.content
        if (message.cluster == NO_IDENTITY &&
            first is EntryContent.MembershipEntry &&
            first.membership.contains(sender, message.identity)
        ) {
            state.send(sender, ClusterCreated(state.cluster, message.identity, first.membership))
        } else {
            val members = state.membership.members
            val reply = AnnouncementReply(
                message.identity,
                state.identity,
                state.cluster,
                members.keys.toList(),
                members[sender]?.identity ?: NO_IDENTITY,
            )
            state.send(sender, reply)
        }
    }

    fun receive(sender: ProcessName, message: AnnouncementReply) {
        if (message.asker != state.identity) return
        contacts.addAll(message.members)
        // A name is used by one process at a time, so the listed identity came before this one.
        if (!state.isObserver && message.listed !in setOf(NO_IDENTITY, state.identity)) {
            earlierIdentities.add(message.listed)
        }
        if (message.cluster == NO_IDENTITY) {
            candidates[sender] = message.identity
        } else {
            candidates.remove(sender)
        }
    }

    fun receive(message: ClusterCreated) {
        if (state.hasCluster || message.receiver != state.identity) return
        if (!message.membership.contains(state.name, state.identity)) return
        join(message.cluster, message.membership)
    }

    private fun createClusterIfPossible() {
        if (state.isObserver) return
        val listed = state.settings.bootstrap
        if (!candidates.keys.containsAll(listed.filter { it != state.name })) return
        val names = listed.filter { candidates[it] != NO_IDENTITY }
        if (names.minByOrNull { it.value } != state.name) return
        val membership = Membership(
            names.sortedBy { it.value }.associateWith {
                val identity = if (it == state.name) state.identity else candidates.getValue(it)
                Member(identity, isVoter = true)
            },
        )
        join(drawCluster(), membership)
        membership.members.filterKeys { it != state.name }.forEach { (process, member) ->
            state.send(process, ClusterCreated(state.cluster, member.identity, membership))
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

    private fun otherProcesses(): List<ProcessName> =
        (state.settings.bootstrap + contacts + state.membership.members.keys)
            .distinct()
            .filter { it != state.name }

    private companion object {
        /** Heartbeat intervals between two announcements of a replica without a membership. */
        const val ANNOUNCEMENT_INTERVALS = 2

        /** The same for an observer, which waits for nothing. */
        const val OBSERVER_ANNOUNCEMENT_INTERVALS = 20

        /** Heartbeat intervals for which an announced identity counts as present. */
        const val UNKNOWN_IDENTITY_INTERVALS = 10
    }
}
