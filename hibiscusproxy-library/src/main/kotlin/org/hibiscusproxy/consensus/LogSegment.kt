package org.hibiscusproxy.consensus

import java.nio.ByteBuffer
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.name

/** One file of the log, named after the index of its first entry. */
internal class LogSegment(val file: Path, val firstIndex: Long) {
    /**
     * Reads all entries.
     *
     * @param isLast whether this is the last file of the log, the only one that a crash can leave
     * with an incomplete or invalid last record
     * @throws StorageFailureException with [StorageFailure.CorruptRecord]
     */
    fun read(isLast: Boolean): SegmentContent {
        val buffer = ByteBuffer.wrap(Files.readAllBytes(file))
        val entries = mutableListOf<LogEntry>()
        var offset = 0
        while (offset < buffer.limit()) {
            val index = firstIndex + entries.size
            val entry = LogRecord.decode(buffer, offset)
            val isExpected = entry != null && entry.index == index &&
                entry.term >= (entries.lastOrNull()?.term ?: 0)
            if (!isExpected) {
                val isTorn = isLast && entry == null &&
                    !LogRecord.isFollowedByRecord(buffer, offset, index)
                if (!isTorn) fail(StorageFailure.CorruptRecord(file, offset.toLong()))
                break
            }
            entries.add(checkNotNull(entry))
            offset += LogRecord.size(buffer, offset)
        }
        return SegmentContent(entries, offset.toLong(), buffer.limit().toLong())
    }

    /** Offset of the record with [index], which is in this file. */
    fun offsetOf(index: Long): Long {
        val buffer = ByteBuffer.wrap(Files.readAllBytes(file))
        var offset = 0
        repeat((index - firstIndex).toInt()) { offset += LogRecord.size(buffer, offset) }
        return offset.toLong()
    }

    companion object {
        private const val PREFIX = "log-"
        private const val INDEX_DIGITS = 20

        fun at(folder: Path, firstIndex: Long) = LogSegment(
            folder.resolve(PREFIX + firstIndex.toString().padStart(INDEX_DIGITS, '0')),
            firstIndex,
        )

        /** The segment in [file], or null if the file's name is not that of a segment. */
        fun of(file: Path): LogSegment? {
            val index = file.name.removePrefix(PREFIX).toLongOrNull()
            return index?.takeIf { file.name.startsWith(PREFIX) }?.let { LogSegment(file, it) }
        }
    }
}

/** Entries of a file, the size of its valid records, and the size of the file. */
internal data class SegmentContent(
    val entries: List<LogEntry>,
    val validBytes: Long,
    val fileBytes: Long,
)

internal fun fail(failure: StorageFailure): Nothing = throw StorageFailureException(failure)
