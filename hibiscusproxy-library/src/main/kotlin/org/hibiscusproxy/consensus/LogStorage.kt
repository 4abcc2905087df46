package org.hibiscusproxy.consensus

import com.github.michaelbull.result.Result
import java.nio.file.Path

/**
 * Durable state of one replica. Not safe for concurrent use. After any failure the storage must be
 * closed and reopened, since the state on disk is unknown.
 */
interface LogStorage : AutoCloseable {
    /** Reads the stored state. Called once, before any other call. */
    fun recover(): Result<StoredState, StorageFailure>

    /** Replaces the hard state; durable on return. */
    fun saveHardState(state: HardState): Result<Unit, StorageFailure>

    /** Writes [entries] after the last entry; durable after [sync]. */
    fun append(entries: List<LogEntry>): Result<Unit, StorageFailure>

    /** Removes the entries from [index] on; durable on return. */
    fun truncateFrom(index: Long): Result<Unit, StorageFailure>

    /** Makes all appended entries durable. */
    fun sync(): Result<Unit, StorageFailure>

    /** Replaces the snapshot; durable on return. The log is not changed. */
    fun saveSnapshot(snapshot: Snapshot): Result<Unit, StorageFailure>

    /** Reads the latest snapshot, or returns null if there is none. */
    fun readSnapshot(): Result<Snapshot?, StorageFailure>

    /** Permits deletion of the entries up to [index], which a snapshot covers. */
    fun discardThrough(index: Long): Result<Unit, StorageFailure>

    /** Deletes all entries. The next entry appended follows [index], which a snapshot covers. */
    fun resetTo(index: Long): Result<Unit, StorageFailure>

    /** Closes the files. Entries that were not synced may be lost. */
    override fun close()
}

/**
 * State read on recovery.
 *
 * @property entries entries after the snapshot, without gaps
 * @property repair truncation of an invalid last record, if there was one
 */
data class StoredState(
    val hardState: HardState,
    val snapshot: Snapshot?,
    val entries: List<LogEntry>,
    val repair: TailRepair? = null,
)

/** Truncation of an incomplete or invalid last record, which a crash during a write can leave. */
data class TailRepair(val file: Path, val offset: Long, val droppedBytes: Long)
