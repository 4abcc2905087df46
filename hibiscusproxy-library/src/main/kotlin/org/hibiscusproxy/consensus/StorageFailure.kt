package org.hibiscusproxy.consensus

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrThrow
import java.nio.file.Path

/** Why stored state cannot be read or written. */
sealed class StorageFailure {
    /** Description for the operator. */
    abstract val message: String

    /** Another process, or another part of this one, holds the data folder. */
    data class FolderLocked(val folder: Path) : StorageFailure() {
        override val message: String get() = "data folder is in use by another process: $folder"
    }

    /**
     * A record is invalid although valid ones follow, or although the file is not the log's last.
     */
    data class CorruptRecord(val file: Path, val offset: Long) : StorageFailure() {
        override val message: String get() = "log is damaged: $file at offset $offset"
    }

    /** Entries between the snapshot and the log, or between two log files, are missing. */
    data class MissingEntries(val file: Path, val expectedIndex: Long, val foundIndex: Long) :
        StorageFailure() {
        override val message: String
            get() = "log has a gap: $file starts at $foundIndex, expected $expectedIndex"
    }

    /** The content of a snapshot does not match its checksum or name. */
    data class DamagedSnapshot(val file: Path) : StorageFailure() {
        override val message: String get() = "snapshot is damaged: $file"
    }

    /** The content of the hard state does not match its checksum. */
    data class DamagedHardState(val file: Path) : StorageFailure() {
        override val message: String get() = "hard state is damaged: $file"
    }

    /** The folder holds a log or snapshot but no hard state. */
    data class MissingHardState(val file: Path) : StorageFailure() {
        override val message: String get() = "hard state is missing beside a log: $file"
    }

    /** An I/O operation failed. */
    data class InputOutput(val operation: String, val cause: String) : StorageFailure() {
        override val message: String get() = "$operation failed: $cause"
    }
}

/**
 * Thrown when the storage of a running replica fails. After a failed sync the state on disk is
 * unknown, so the replica must be reopened before it takes part again.
 */
class StorageFailureException(val failure: StorageFailure) : RuntimeException(failure.message)

internal fun <V> Result<V, StorageFailure>.orFail(): V = getOrThrow { StorageFailureException(it) }
