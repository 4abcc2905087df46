package org.hibiscusproxy.consensus

import kotlin.random.Random
import org.hibiscusproxy.model.ProcessName

/**
 * What all parts of a replica share: the hard state, the log, how far it is committed, and the
 * outputs that leave with the next flush, after everything they promise is durable.
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

    /** Whether this replica votes according to the newest membership it knows. */
    val isVoter: Boolean get() = membership.isVoter(name, identity)

    init {
        // A crash between the two writes of a founding leaves a log without a cluster.
        if (!hasCluster && log.lastIndex > 0) log.truncateFrom(1)
        if (log.lastTerm > term) enterTerm(log.lastTerm)
        commitThrough(minOf(hardState.committed, log.lastIndex))
    }

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

    /** Takes a request that names [cluster] and [receiver]; the first one binds a new replica. */
    fun isAddressed(cluster: Long, receiver: Long): Boolean {
        if (receiver != identity || cluster == NO_IDENTITY) return false
        if (!hasCluster) update(hardState.copy(cluster = cluster))
        return this.cluster == cluster
    }

    fun commitThrough(index: Long) {
        if (index <= commitIndex) return
        check(index <= log.lastIndex) { "cannot commit $index, last entry is ${log.lastIndex}" }
        commitIndex = index
    }

    /** Stores how far the log is committed, with a write of its own; called now and then. */
    fun rememberCommit() {
        if (commitIndex > hardState.committed) update(hardState.copy(committed = commitIndex))
    }

    fun send(receiver: ProcessName, message: ConsensusMessage) {
        outbox.add(ConsensusOutput.Send(receiver, message.encode()))
    }

    fun resetTo(snapshot: Snapshot) {
        log.resetTo(snapshot)
        commitIndex = snapshot.index
    }

    /**
     * Makes the hard state and the log durable. The log goes first: entries of a term newer than
     * the stored one are from that term's only leader, while a cluster without its founding entry
     * could not go on.
     */
    fun persist() {
        log.persist(storage)
        if (!isHardStateChanged) return
        storage.saveHardState(hardState).orFail()
        isHardStateChanged = false
    }
}
