package org.hibiscusproxy.consensus

import com.github.michaelbull.result.Result
import java.nio.file.Path

/**
 * Durable state of one replica. Used by one thread at a time. After any failure the storage must be
 * closed and opened again, since what the disk holds is unknown.
 */
interface LogStorage : AutoCloseable {
    /** Reads what was durable when the storage was opened. Called once, before any other call. */
    fun recover(): Result<StoredState, StorageFailure>

    /** Replaces the hard state; durable on return. */
    fun saveHardState(state: HardState): Result<Unit, StorageFailure>

    /** Writes [entries] after the last entry; durable after [sync]. */
    fun append(entries: List<LogEntry>): Result<Unit, StorageFailure>

    /** Removes the entries from [index] on; durable on return. */
    fun truncateFrom(index: Long): Result<Unit, StorageFailure>

    /** Makes all appended entries durable. */
    fun sync(): Result<Unit, StorageFailure>

    /** Replaces the snapshot; durable on return. The log is left as it is. */
    fun saveSnapshot(snapshot: Snapshot): Result<Unit, StorageFailure>

    /** Reads the newest snapshot, or null if there is none. */
    fun readSnapshot(): Result<Snapshot?, StorageFailure>

    /** Allows entries up to [index], which a snapshot covers, to be deleted. */
    fun discardThrough(index: Long): Result<Unit, StorageFailure>

    /** Deletes all entries; the next one appended follows [index], which a snapshot covers. */
    fun resetTo(index: Long): Result<Unit, StorageFailure>

    /** Releases the files. Entries that were not synced may be lost. */
    override fun close()
}

/**
 * What was found on opening.
 *
 * @property entries entries that follow the snapshot, without gaps
 * @property repair what was cut off the end of the log, if anything
 */
data class StoredState(
    val hardState: HardState,
    val snapshot: Snapshot?,
    val entries: List<LogEntry>,
    val repair: TailRepair? = null,
)

/** An incomplete or bad last record was cut off, as a crash in the middle of a write leaves it. */
data class TailRepair(val file: Path, val offset: Long, val droppedBytes: Long)
