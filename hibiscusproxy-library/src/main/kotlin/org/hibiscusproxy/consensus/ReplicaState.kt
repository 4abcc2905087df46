package org.hibiscusproxy.consensus

import kotlin.random.Random
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Payload

/**
 * State shared by all parts of a replica: the hard state, the log, the commit index, and the
 * outputs of the next flush, which are released only after the state they depend on is durable.
 */
internal class ReplicaState(
    val settings: ReplicatedLogSettings,
    val storage: LogStorage,
    val random: Random,
    recovered: StoredState,
) {
    val log = EntryLog(recovered.snapshot, recovered.entries)
    val outbox = mutableListOf<ConsensusOutput>()

    var commitIndex: Long = log.baseIndex
        private set

    var hardState: HardState = recovered.hardState
        private set

    private var isHardStateChanged = false

    val name: ProcessName get() = settings.name
    val identity: Long get() = hardState.identity
    val cluster: Long get() = hardState.cluster
    val term: Long get() = hardState.term
    val membership: Membership get() = log.membership

    /** Identities known to be lost; always empty if no losses are tolerated. */
    val lost: Set<Long> get() = hardState.lost.toSet()

    /** Whether this replica is a voter in the latest membership it knows. */
    val isVoter: Boolean get() = membership.isVoter(name, identity)

    init {
        // A crash between the two writes that create a cluster leaves a log without a cluster.
        if (!hasCluster && log.lastIndex > 0) log.truncateFrom(1)
        if (log.lastTerm > term) enterTerm(log.lastTerm)
        commitThrough(minOf(hardState.committed, log.lastIndex))
    }

    /** Whether this replica has no disk and never becomes a member. */
    val isObserver: Boolean get() = identity == NO_IDENTITY

    val hasCluster: Boolean get() = cluster != NO_IDENTITY

    fun update(next: HardState) {
        if (next == hardState) return
        hardState = next
        isHardStateChanged = true
    }

    fun enterTerm(term: Long) {
        check(term > hardState.term) { "term $term does not follow ${hardState.term}" }
        update(hardState.copy(term = term, vote = NO_IDENTITY))
    }

    /**
     * Whether a request to [receiver] in [cluster] is for this replica. The first such request
     * makes a replica without a cluster join [cluster].
     */
    fun acceptAddress(cluster: Long, receiver: Long): Boolean {
        if (receiver != identity || cluster == NO_IDENTITY) return false
        if (!hasCluster) update(hardState.copy(cluster = cluster))
        return this.cluster == cluster
    }

    /**
     * Records that [identities] have lost their disks. This is final, and kept on disk: a message
     * that such an identity sent as a leader may still arrive later.
     */
    fun recordLost(identities: List<Long>) {
        if (settings.toleratedLosses == 0 || identities.isEmpty()) return
        val known = (hardState.lost + identities).distinct().filter { it != identity }
        update(hardState.copy(lost = known.takeLast(RETAINED_LOST_IDENTITIES)))
    }

    /** Numbers of voters of [membership] that commits and elections need. */
    fun quorums(membership: Membership = this.membership, lost: Set<Long> = this.lost): Quorums =
        Quorums(membership, lost, settings.toleratedLosses)

    /** Why a leader refuses to append [command], or null if it appends it. */
    fun refusalOf(command: Payload): ProposalRefusal? {
        val bytes = command.bytes.size
        if (bytes > settings.maximumEntryBytes) {
            return ProposalRefusal.TooLarge(bytes, settings.maximumEntryBytes)
        }
        val pending = log.bytesBetween(commitIndex, log.lastIndex)
        if (pending == 0L || pending + bytes <= settings.maximumPendingBytes) return null
        return ProposalRefusal.TooManyPending(pending, settings.maximumPendingBytes)
    }

    fun commitThrough(index: Long) {
        if (index <= commitIndex) return
        check(index <= log.lastIndex) { "cannot commit $index, last entry is ${log.lastIndex}" }
        commitIndex = index
    }

    /** Schedules a write of the commit index. Called at intervals, as it costs an extra write. */
    fun saveCommitIndex() {
        if (commitIndex > hardState.committed) update(hardState.copy(committed = commitIndex))
    }

    /** Adds [message] to the outputs; returns its size in bytes. */
    fun send(receiver: ProcessName, message: ConsensusMessage): Int {
        val encoded = message.encode()
        outbox.add(ConsensusOutput.Send(receiver, encoded))
        return encoded.bytes.size
    }

    fun resetTo(snapshot: Snapshot) {
        log.resetTo(snapshot)
        commitIndex = snapshot.index
    }

    /**
     * Persists the log and the hard state. The log is written first: entries of a term newer than
     * the stored one are safe, as they come from that term's only leader, while a cluster identity
     * without the cluster's first entry would leave the replica unusable.
     */
    fun persist() {
        log.persist(storage)
        if (!isHardStateChanged) return
        storage.saveHardState(hardState).orFail()
        isHardStateChanged = false
    }

    private companion object {
        /** Messages of identities lost before the latest ones are no longer under way. */
        const val RETAINED_LOST_IDENTITIES = 64
    }
}
