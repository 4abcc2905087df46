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
     * @param isLast whether an incomplete or bad last record is acceptable, since only the last
     * file can have been written to when a crash occurred
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

    /** Offset of the record of [index], which this file holds. */
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

        /** The segment that [file] is, or null if its name is not that of one. */
        fun of(file: Path): LogSegment? {
            val index = file.name.removePrefix(PREFIX).toLongOrNull()
            return index?.takeIf { file.name.startsWith(PREFIX) }?.let { LogSegment(file, it) }
        }
    }
}

/** Entries of a file, where the valid records end, and where the file ends. */
internal data class SegmentContent(
    val entries: List<LogEntry>,
    val validBytes: Long,
    val fileBytes: Long,
)

internal fun fail(failure: StorageFailure): Nothing = throw StorageFailureException(failure)
