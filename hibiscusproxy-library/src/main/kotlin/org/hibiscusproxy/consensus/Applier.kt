package org.hibiscusproxy.consensus

import org.hibiscusproxy.protocol.Payload

/** Applies committed entries to the state machine and compacts the log by snapshots. */
internal class Applier(
    private val state: ReplicaState,
    private val stateMachine: StateMachine,
    snapshot: Snapshot?,
) {
    private var bytesSinceSnapshot = 0L
    private var snapshotIndex = snapshot?.index ?: 0
    private var snapshotBytes = snapshot?.state?.bytes?.size ?: 0

    var appliedIndex: Long = snapshotIndex
        private set

    init {
        snapshot?.let { stateMachine.restore(it.state) }
    }

    fun apply() {
        while (appliedIndex < state.commitIndex) {
            val entry = state.log[appliedIndex + 1]
            val result = when (val content = entry.content) {
                is EntryContent.Command -> stateMachine.apply(entry.index, content.payload)
                is EntryContent.MembershipEntry, EntryContent.NoOperation -> Payload.EMPTY
            }
            appliedIndex = entry.index
            bytesSinceSnapshot += entry.approximateBytes
            state.outbox.add(ConsensusOutput.Applied(entry.index, entry.term, result))
        }
    }

    /** Takes a snapshot if one is due, and discards old entries. */
    fun compact() {
        val settings = state.settings
        val isDue = appliedIndex - snapshotIndex >= settings.snapshotEntries ||
            bytesSinceSnapshot >= maxOf(settings.snapshotBytes, snapshotBytes.toLong())
        if (!isDue || appliedIndex == snapshotIndex) return
        val term = checkNotNull(state.log.termAt(appliedIndex))
        val membership = state.log.membershipAt(appliedIndex)
        save(Snapshot(appliedIndex, term, membership, stateMachine.snapshot()))
        val trailing = state.log.trailing(
            appliedIndex,
            settings.trailingEntries,
            settings.trailingBytes,
        )
        val discarded = appliedIndex - trailing
        if (discarded <= state.log.baseIndex) return
        state.log.discardThrough(discarded)
        state.storage.discardThrough(discarded).orFail()
    }

    /**
     * Restores the state from [snapshot], and replaces the log unless it contains the snapshot's
     * entry.
     */
    fun install(snapshot: Snapshot) {
        if (snapshot.index <= state.commitIndex) return
        if (state.log.termAt(snapshot.index) == snapshot.term) {
            state.commitThrough(snapshot.index)
            return
        }
        save(snapshot)
        state.storage.resetTo(snapshot.index).orFail()
        state.resetTo(snapshot)
        stateMachine.restore(snapshot.state)
        appliedIndex = snapshot.index
        state.outbox.add(ConsensusOutput.SnapshotInstalled(snapshot.index))
    }

    private fun save(snapshot: Snapshot) {
        state.storage.saveSnapshot(snapshot).orFail()
        snapshotIndex = snapshot.index
        snapshotBytes = snapshot.state.bytes.size
        bytesSinceSnapshot = 0
    }
}
