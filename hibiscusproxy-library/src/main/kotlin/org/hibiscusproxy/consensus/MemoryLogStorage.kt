package org.hibiscusproxy.consensus

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlin.random.Random

/**
 * In-memory storage, which loses unsynced entries in a [crash]: for tests, and for observers.
 */
class MemoryLogStorage(identity: Long) : LogStorage {
    private var hardState = HardState(identity)
    private var snapshot: Snapshot? = null
    private val durable = ArrayDeque<LogEntry>()
    private val unsynced = ArrayDeque<LogEntry>()

    /** Number of calls of [sync]. */
    var syncs: Int = 0
        private set

    /** Drops the unsynced entries, except a random number of the oldest ones. */
    fun crash(random: Random) {
        repeat(random.nextInt(unsynced.size + 1)) { durable.add(unsynced.removeFirst()) }
        unsynced.clear()
    }

    override fun recover(): Result<StoredState, StorageFailure> {
        if (snapshot?.isContinuedBy(durable) == false) durable.clear()
        val base = snapshot?.index ?: 0
        return Ok(StoredState(hardState, snapshot, durable.filter { it.index > base }))
    }

    override fun saveHardState(state: HardState): Result<Unit, StorageFailure> {
        hardState = state
        return Ok(Unit)
    }

    override fun append(entries: List<LogEntry>): Result<Unit, StorageFailure> {
        unsynced.addAll(entries)
        return Ok(Unit)
    }

    override fun truncateFrom(index: Long): Result<Unit, StorageFailure> {
        unsynced.removeAll { it.index >= index }
        durable.removeAll { it.index >= index }
        return Ok(Unit)
    }

    override fun sync(): Result<Unit, StorageFailure> {
        durable.addAll(unsynced)
        unsynced.clear()
        syncs++
        return Ok(Unit)
    }

    override fun saveSnapshot(snapshot: Snapshot): Result<Unit, StorageFailure> {
        this.snapshot = snapshot
        return Ok(Unit)
    }

    override fun readSnapshot(): Result<Snapshot?, StorageFailure> = Ok(snapshot)

    override fun discardThrough(index: Long): Result<Unit, StorageFailure> {
        durable.removeAll { it.index <= index }
        return Ok(Unit)
    }

    override fun resetTo(index: Long): Result<Unit, StorageFailure> {
        durable.clear()
        unsynced.clear()
        return Ok(Unit)
    }

    override fun close() = Unit

    companion object {
        /**
         * Storage of an observer: a process without a disk, which has no identity, never becomes a
         * member, and only learns from other replicas who the members are.
         */
        fun ofObserver(): MemoryLogStorage = MemoryLogStorage(NO_IDENTITY)
    }
}
