package org.hibiscusproxy.consensus

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrThrow
import java.nio.file.Path

/** Why durable state cannot be read or written. */
sealed class StorageFailure {
    /** What went wrong, for the operator. */
    abstract val message: String

    /** Another process, or another part of this one, holds the data folder. */
    data class FolderLocked(val folder: Path) : StorageFailure() {
        override val message: String get() = "data folder is in use by another process: $folder"
    }

    /** A record is bad although valid ones follow, or the file is not the last of the log. */
    data class CorruptRecord(val file: Path, val offset: Long) : StorageFailure() {
        override val message: String get() = "log is damaged: $file at offset $offset"
    }

    /** Entries between the snapshot and the log, or between two log files, are missing. */
    data class MissingEntries(val file: Path, val expectedIndex: Long, val foundIndex: Long) :
        StorageFailure() {
        override val message: String
            get() = "log has a gap: $file starts at $foundIndex, expected $expectedIndex"
    }

    /** A snapshot does not have the content that was written. */
    data class DamagedSnapshot(val file: Path) : StorageFailure() {
        override val message: String get() = "snapshot is damaged: $file"
    }

    /** The hard state does not have the content that was written. */
    data class DamagedHardState(val file: Path) : StorageFailure() {
        override val message: String get() = "hard state is damaged: $file"
    }

    /** The folder holds a log or snapshot but no hard state. */
    data class MissingHardState(val file: Path) : StorageFailure() {
        override val message: String get() = "hard state is missing beside a log: $file"
    }

    /** The operating system refused an operation. */
    data class InputOutput(val operation: String, val cause: String) : StorageFailure() {
        override val message: String get() = "$operation failed: $cause"
    }
}

/**
 * Ends a replica whose storage failed while it was running. After a failed sync it is unknown what
 * is on the disk, so the replica must be opened again before it takes part.
 */
class StorageFailureException(val failure: StorageFailure) : RuntimeException(failure.message)

internal fun <V> Result<V, StorageFailure>.orFail(): V = getOrThrow { StorageFailureException(it) }
