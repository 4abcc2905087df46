package org.hibiscusproxy.consensus

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.deleteExisting
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readBytes
import kotlin.io.path.writeBytes
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import org.hibiscusproxy.protocol.Payload
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir

/** Guards against reading damaged files as valid state. */
class FileLogStorageTest {
    @TempDir
    lateinit var folder: Path

    private val entries = (1L..6L).map { index ->
        LogEntry(1 + index / 4, index, EntryContent.Command(Payload.of("command $index")))
    }
    private val snapshot = Snapshot(3, 1, Membership.EMPTY, Payload.of("state of three"))

    private fun <V> Result<V, StorageFailure>.ok(): V = getOrThrow { StorageFailureException(it) }

    private fun open(segmentBytes: Long = 100_000) =
        FileLogStorage.open(folder, newIdentity = 5, segmentBytes)

    private fun write(segmentBytes: Long = 100_000, action: (FileLogStorage) -> Unit = {}) {
        open(segmentBytes).ok().use { storage ->
            storage.recover().ok()
            entries.forEach { storage.append(listOf(it)).ok() }
            storage.sync().ok()
            action(storage)
        }
    }

    private fun recover(): Result<StoredState, StorageFailure> {
        val storage = open()
        storage.getError()?.let { return Err(it) }
        return storage.ok().use { it.recover() }
    }

    private fun file(prefix: String): Path =
        folder.listDirectoryEntries("$prefix*").maxBy { it.name }

    /** Applies [damage] at each position of [file] in turn and restores the file afterwards. */
    private fun eachDamage(
        file: Path,
        positions: IntRange = 0 until Files.size(file).toInt(),
        damage: (ByteArray, Int) -> ByteArray,
        expect: (Int, Result<StoredState, StorageFailure>) -> Unit,
    ) {
        val content = file.readBytes()
        positions.forEach { position ->
            file.writeBytes(damage(content.copyOf(), position))
            expect(position, recover())
            file.writeBytes(content)
        }
    }

    private fun refusesAnyDamage(
        file: Path,
        expected: StorageFailure,
        damages: List<(ByteArray, Int) -> ByteArray> = listOf(::flip, ::cut),
    ) = damages.forEach { damage ->
        eachDamage(file, damage = damage) { position, result ->
            assertEquals(expected, result.getError(), "at $position")
        }
    }

    private fun cut(content: ByteArray, position: Int): ByteArray = content.copyOf(position)

    private fun flip(content: ByteArray, position: Int): ByteArray {
        content[position] = (content[position].toInt() xor (1 shl position % 8)).toByte()
        return content
    }

    @Nested
    inner class Reopening {
        @Test
        fun `returns everything that was written and keeps the first identity`() {
            write(segmentBytes = 100) { storage ->
                storage.saveHardState(HardState(5, cluster = 9, term = 2, vote = 8)).ok()
                storage.truncateFrom(5).ok()
                storage.append(listOf(entries[4].copy(term = 3))).ok()
                storage.sync().ok()
            }
            val reopened = FileLogStorage.open(folder, newIdentity = 6).ok()
            val state = reopened.use { it.recover().ok() }

            val expected = entries.take(4) + entries[4].copy(term = 3)
            assertEquals(StoredState(HardState(5, 9, 2, 8), null, expected), state)
        }

        @Test
        fun `continues after a snapshot and deletes what it covers`() {
            write(segmentBytes = 1) { storage ->
                storage.saveSnapshot(snapshot).ok()
                storage.discardThrough(3).ok()
            }
            assertEquals("log-00000000000000000004", folder.logFiles().first().name)
            assertEquals(StoredState(HardState(5), snapshot, entries.drop(3)), recover().ok())
        }

        @Test
        fun `drops a log that conflicts with an installed snapshot`() {
            write { it.saveSnapshot(snapshot.copy(term = 2)).ok() }

            assertEquals(emptyList(), recover().ok().entries)
            assertEquals(emptyList(), folder.logFiles())
        }

        @Test
        fun `refuses a second opener until the first has closed`() {
            val first = open().ok()
            assertEquals(StorageFailure.FolderLocked(folder), open().getError())
            first.close()
            open().ok().close()
        }
    }

    @Nested
    inner class DamagedLog {
        @Test
        fun `a record cut at any byte is removed and the log goes on after it`() {
            write()
            val file = file("log-")
            val last = LogRecord.encode(entries.takeLast(1)).remaining()
            val size = Files.size(file).toInt()
            eachDamage(file, size - last until size, ::cut) { position, result ->
                val state = result.ok()
                assertEquals(entries.dropLast(1), state.entries, "cut at $position")
                assertEquals(position > size - last, state.repair != null, "cut at $position")
                open().ok().use { storage ->
                    storage.recover().ok()
                    storage.append(entries.takeLast(1)).ok()
                    storage.sync().ok()
                }
                assertEquals(entries, recover().ok().entries, "appended after $position")
            }
        }

        @Test
        fun `a flipped bit is refused, or removes the last record only`() {
            write()
            val file = file("log-")
            val last = LogRecord.encode(entries.takeLast(1)).remaining()
            val lastOffset = Files.size(file) - last
            eachDamage(file, damage = ::flip) { position, result ->
                if (position >= lastOffset) {
                    assertEquals(entries.dropLast(1), result.ok().entries, "at $position")
                } else {
                    val failure = assertIs<StorageFailure.CorruptRecord>(result.getError())
                    assertEquals(file, failure.file)
                    assertTrue(failure.offset in position - last..position, "at $position")
                }
            }
        }

        @Test
        fun `a flipped bit in a file that is not the last is refused`() {
            write(segmentBytes = 1)
            val first = folder.logFiles().first()
            refusesAnyDamage(
                first,
                StorageFailure.CorruptRecord(first, 0),
                damages = listOf(::flip),
            )
        }

        @Test
        fun `a missing file is refused`() {
            write(segmentBytes = 1)
            val files = folder.logFiles()
            files[2].deleteExisting()
            assertEquals(StorageFailure.MissingEntries(files[3], 3, 4), recover().getError())
            files[1].deleteExisting()
            files[0].deleteExisting()
            assertEquals(StorageFailure.MissingEntries(files[3], 1, 4), recover().getError())
        }
    }

    @Nested
    inner class DamagedState {
        @Test
        fun `a damaged snapshot is refused although the log is whole`() {
            write { it.saveSnapshot(snapshot).ok() }
            val file = file("snapshot-")
            refusesAnyDamage(file, StorageFailure.DamagedSnapshot(file))
        }

        @Test
        fun `a damaged or missing hard state is refused and not replaced`() {
            write()
            val file = file("hard-state")
            refusesAnyDamage(file, StorageFailure.DamagedHardState(file))
            file.deleteExisting()
            assertEquals(StorageFailure.MissingHardState(file), recover().getError())
        }

        @Test
        fun `a temporary file of an interrupted write is ignored`() {
            write { it.saveSnapshot(snapshot).ok() }
            folder.resolve("hard-state.tmp").writeBytes(ByteArray(3))
            folder.resolve("snapshot-00000000000000000009.tmp").writeBytes(ByteArray(3))

            assertEquals(snapshot, assertNotNull(recover().get()).snapshot)
        }
    }

    private fun Path.logFiles() = listDirectoryEntries("log-*").sortedBy { it.name }
}
