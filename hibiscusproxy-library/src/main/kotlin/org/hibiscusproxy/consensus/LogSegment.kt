package org.hibiscusproxy.consensus

import java.nio.ByteBuffer
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.name

/** One file of the log, named after the index of its first entry. */
internal class LogSegment(val file: Path, val firstIndex: Long) {
    /**
     * Checks all entries and returns those after [base]: the ones before may be many, and memory
     * need not hold them.
     *
     * @param isLast whether this is the last file of the log, the only one that a crash can leave
     * with an incomplete or invalid last record
     * @throws StorageFailureException with [StorageFailure.CorruptRecord]
     */
    fun read(isLast: Boolean, base: Long): SegmentContent {
        val buffer = ByteBuffer.wrap(Files.readAllBytes(file))
        val entries = mutableListOf<LogEntry>()
        var count = 0
        var lastTerm = 0L
        var baseTerm: Long? = null
        var offset = 0
        while (offset < buffer.limit()) {
            val index = firstIndex + count
            val entry = LogRecord.decode(buffer, offset)
            val isExpected = entry != null && entry.index == index && entry.term >= lastTerm
            if (!isExpected) {
                val isTorn = isLast && entry == null &&
                    !LogRecord.isFollowedByRecord(buffer, offset, index)
                if (!isTorn) fail(StorageFailure.CorruptRecord(file, offset.toLong()))
                break
            }
            checkNotNull(entry)
            count += 1
            lastTerm = entry.term
            if (index == base) baseTerm = entry.term
            if (index > base) entries.add(entry)
            offset += LogRecord.size(buffer, offset)
        }
        return SegmentContent(entries, count, baseTerm, offset.toLong(), buffer.limit().toLong())
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

/**
 * Content of a file.
 *
 * @property entries entries after the snapshot
 * @property count number of all valid records
 * @property baseTerm term of the last entry that the snapshot covers, if it is in this file
 * @property validBytes size of the valid records
 * @property fileBytes size of the file
 */
internal data class SegmentContent(
    val entries: List<LogEntry>,
    val count: Int,
    val baseTerm: Long?,
    val validBytes: Long,
    val fileBytes: Long,
)

internal fun fail(failure: StorageFailure): Nothing = throw StorageFailureException(failure)
