package org.hibiscusproxy.consensus

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrThrow
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Payload
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir

/** Guards against a data folder that cannot be used any more after the disk was full for a while. */
class FullDiskTest {
    @TempDir
    lateinit var folder: Path

    /** Takes [bytes] more and then refuses, in the middle of a write if it does not fit. */
    private class SmallDisk(private var bytes: Int) : DiskWriter {
        override fun write(channel: FileChannel, buffer: ByteBuffer) {
            val part = minOf(bytes, buffer.remaining())
            bytes -= part
            val limit = buffer.limit()
            buffer.limit(buffer.position() + part)
            while (buffer.hasRemaining()) channel.write(buffer)
            buffer.limit(limit)
            if (buffer.hasRemaining()) throw IOException("No space left on device")
        }
    }

    private val membership = Membership(mapOf(ProcessName("a") to Member(IDENTITY, true)))

    private fun <V> Result<V, StorageFailure>.orThrow() = getOrThrow { StorageFailureException(it) }

    private fun open(disk: DiskWriter, path: Path) =
        FileLogStorage.open(path, IDENTITY, SEGMENT_BYTES, disk).orThrow()

    private fun entry(index: Long) =
        LogEntry(1, index, EntryContent.Command(Payload.of("command $index ".repeat(3))))

    /**
     * What a replica writes: hard states, entries in batches, and a snapshot after which old files
     * are deleted. [onDurable] is called with the last index and term that are durable.
     */
    private fun FileLogStorage.work(from: StoredState, onDurable: (Long, Long) -> Unit) {
        var index = from.entries.lastOrNull()?.index ?: from.snapshot?.index ?: 0
        var term = from.hardState.term
        repeat(6) { round ->
            saveHardState(HardState(IDENTITY, cluster = 4, term = ++term)).orThrow()
            onDurable(index, term)
            append((index + 1..index + 3).map(::entry)).orThrow()
            sync().orThrow()
            index += 3
            onDurable(index, term)
            if (round % 2 == 1) {
                saveSnapshot(Snapshot(index - 1, 1, membership, Payload.of("$index"))).orThrow()
                discardThrough(index - 2).orThrow()
            }
        }
    }

    private fun StoredState.lastIndex() = entries.lastOrNull()?.index ?: snapshot?.index ?: 0

    /** Returns whether all work fitted on the disk. */
    private fun fillUp(path: Path, bytes: Int): Boolean {
        var durableIndex = 0L
        var durableTerm = 0L
        val isDone = try {
            val storage = open(SmallDisk(bytes), path)
            storage.use { used ->
                used.work(used.recover().orThrow()) { index, term ->
                    durableIndex = index
                    durableTerm = term
                }
            }
            true
        } catch (_: StorageFailureException) {
            false
        }
        if (Files.exists(path.resolve("hard-state"))) {
            repeat(2) {
                open(SmallDisk(0), path).use { full ->
                    val stored = full.recover().orThrow()
                    assertTrue(stored.lastIndex() >= durableIndex, "after $bytes bytes")
                    assertTrue(stored.hardState.term >= durableTerm, "after $bytes bytes")
                    runCatching { full.work(stored) { _, _ -> } }
                }
            }
        }
        open(DiskWriter.Plain, path).use { empty ->
            val stored = empty.recover().orThrow()
            assertTrue(stored.lastIndex() >= durableIndex, "after $bytes bytes")
            empty.work(stored) { _, _ -> }
            assertEquals(IDENTITY, empty.identity)
        }
        open(DiskWriter.Plain, path).use { it.recover().orThrow() }
        return isDone
    }

    @Nested
    inner class `A disk that is full` {
        @Test
        fun `after any byte is used again as soon as it has room`() {
            var bytes = 0
            while (!fillUp(folder.resolve("$bytes"), bytes)) bytes += 1
            assertTrue(bytes > 1_000, "$bytes bytes were written")
        }
    }

    private companion object {
        const val IDENTITY = 3L
        const val SEGMENT_BYTES = 300L
    }
}
