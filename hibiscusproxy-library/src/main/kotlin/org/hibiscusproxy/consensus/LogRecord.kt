package org.hibiscusproxy.consensus

import java.nio.ByteBuffer
import java.util.zip.CRC32C
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/**
 * One entry in a log file: length of the content (4 bytes), term (8), index (8), CRC32C over these
 * and the content (4), content in CBOR.
 */
internal object LogRecord {
    const val HEADER_BYTES = 24
    private const val CHECKSUM_POSITION = 20

    fun encode(entries: List<LogEntry>): ByteBuffer {
        val contents = entries.map { CONSENSUS_CBOR.encodeToByteArray(it.content) }
        val buffer = ByteBuffer.allocate(contents.sumOf { HEADER_BYTES + it.size })
        entries.forEachIndexed { position, entry ->
            val start = buffer.position()
            val content = contents[position]
            buffer.putInt(content.size).putLong(entry.term).putLong(entry.index)
            buffer.putInt(checksum(buffer, start, content.size, content)).put(content)
        }
        return buffer.flip()
    }

    /** The entry at [offset], or null if the record there is incomplete or invalid. */
    fun decode(buffer: ByteBuffer, offset: Int): LogEntry? {
        val length = contentLength(buffer, offset) ?: return null
        val content = ByteArray(length)
        buffer.get(offset + HEADER_BYTES, content)
        val expected = checksum(buffer, offset, length, content)
        if (buffer.getInt(offset + CHECKSUM_POSITION) != expected) return null
        return try {
            LogEntry(
                term = buffer.getLong(offset + Int.SIZE_BYTES),
                index = indexAt(buffer, offset),
                content = CONSENSUS_CBOR.decodeFromByteArray(content),
            )
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
    }

    /** Whether a valid record with an index of at least [index] starts after [offset]. */
    fun isFollowedByRecord(buffer: ByteBuffer, offset: Int, index: Long): Boolean {
        val latest = index + buffer.limit() / HEADER_BYTES
        return (offset + 1..buffer.limit() - HEADER_BYTES).any { position ->
            indexAt(buffer, position) in index..latest && decode(buffer, position) != null
        }
    }

    /** Size in bytes of the valid record at [offset]. */
    fun size(buffer: ByteBuffer, offset: Int): Int = HEADER_BYTES + buffer.getInt(offset)

    private fun contentLength(buffer: ByteBuffer, offset: Int): Int? {
        val available = buffer.limit() - offset - HEADER_BYTES
        if (available < 0) return null
        return buffer.getInt(offset).takeIf { it in 0..available }
    }

    private fun indexAt(buffer: ByteBuffer, offset: Int): Long =
        buffer.getLong(offset + Int.SIZE_BYTES + Long.SIZE_BYTES)

    private fun checksum(buffer: ByteBuffer, start: Int, length: Int, content: ByteArray): Int {
        val checksum = CRC32C()
        checksum.update(buffer.array(), start, CHECKSUM_POSITION)
        checksum.update(content, 0, length)
        return checksum.value.toInt()
    }
}
