package org.hibiscusproxy.consensus

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.IOException
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import kotlin.io.path.deleteExisting
import kotlin.io.path.exists
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/**
 * Storage in one locked data folder: `hard-state`, at most one `snapshot-INDEX` and the log files
 * `log-INDEX`. Recovery truncates an incomplete or invalid last record of the log, which a crash
 * during a write can leave. Any other damage is an error that names the file: the folder has to be
 * removed and the replica added again under a new identity.
 *
 * If a crash made the end of an unsynced batch durable but not its start, recovery fails as well,
 * since this cannot be distinguished from damage.
 */
class FileLogStorage private constructor(
    private val folder: Path,
    private val lock: FolderLock,
    private var hardState: HardState,
    private val segmentBytes: Long,
    private val disk: DiskWriter,
) : LogStorage {
    private val segments = ArrayDeque<LogSegment>()
    private var active: FileChannel? = null
    private var lastIndex = 0L

    /** The identity generated when the folder was created. */
    val identity: Long get() = hardState.identity

    override fun recover(): Result<StoredState, StorageFailure> = catching("recovery of $folder") {
        val snapshot = recoverSnapshot()
        val base = snapshot?.index ?: 0
        segments.addAll(findSegments())
        val contents = segments.map { it.read(isLast = it === segments.last(), base) }
        checkContinuity(base, contents)
        val repair = repairTail(contents.lastOrNull())
        val filled = segments.zip(contents).filter { (_, content) -> content.count > 0 }
        val last = filled.lastOrNull()
        lastIndex = if (last == null) base else last.first.firstIndex + last.second.count - 1
        val isContinued = snapshot == null || filled.firstOrNull()?.first?.firstIndex == base + 1 ||
            contents.any { it.baseTerm == snapshot.term }
        if (!isContinued) deleteSegments(base)
        lastIndex = maxOf(lastIndex, base)
        val following = if (isContinued) contents.flatMap { it.entries } else emptyList()
        StoredState(hardState, snapshot, following, repair)
    }

    override fun saveHardState(state: HardState): Result<Unit, StorageFailure> =
        catching("writing the hard state") {
            writeHardState(folder, state, disk)
            hardState = state
        }

    override fun append(entries: List<LogEntry>): Result<Unit, StorageFailure> =
        catching("appending to the log") {
            if (entries.isEmpty()) return@catching
            check(entries.first().index == lastIndex + 1) {
                "entry ${entries.first().index} does not follow $lastIndex"
            }
            var written = 0
            while (written < entries.size) {
                val batch = batch(entries.subList(written, entries.size))
                disk.write(channelForAppend(), LogRecord.encode(batch))
                lastIndex = batch.last().index
                written += batch.size
            }
        }

    /** The first of [entries], about as many as fit in a log file but at least one. */
    private fun batch(entries: List<LogEntry>): List<LogEntry> {
        var bytes = 0L
        val count = entries.takeWhile { entry ->
            bytes += entry.approximateBytes
            bytes <= segmentBytes
        }.size
        return entries.subList(0, maxOf(count, 1))
    }

    override fun truncateFrom(index: Long): Result<Unit, StorageFailure> =
        catching("truncating the log") {
            if (index > lastIndex) return@catching
            closeActive()
            while (segments.isNotEmpty() && segments.last().firstIndex >= index) {
                segments.removeLast().file.deleteExisting()
                syncFolder(folder)
            }
            segments.lastOrNull()?.let { truncateFile(it.file, it.offsetOf(index)) }
            lastIndex = index - 1
        }

    override fun sync(): Result<Unit, StorageFailure> = catching("syncing the log") {
        active?.force(false)
    }

    override fun saveSnapshot(snapshot: Snapshot): Result<Unit, StorageFailure> =
        catching("writing a snapshot") {
            ChecksummedFile.write(snapshotFile(snapshot.index), snapshot.encode(), disk)
            snapshotFiles().dropLast(1).forEach { it.deleteExisting() }
        }

    override fun readSnapshot(): Result<Snapshot?, StorageFailure> =
        catching("reading a snapshot") { snapshotFiles().lastOrNull()?.let(::readSnapshotFile) }

    override fun discardThrough(index: Long): Result<Unit, StorageFailure> =
        catching("deleting log files") {
            // Oldest first, so that a crash in between leaves no gap in the log.
            while (segments.size > 1 && segments[1].firstIndex <= index + 1) {
                segments.removeFirst().file.deleteExisting()
                syncFolder(folder)
            }
        }

    override fun resetTo(index: Long): Result<Unit, StorageFailure> =
        catching("deleting log files") { deleteSegments(index) }

    override fun close() {
        closeActive()
        lock.close()
    }

    private fun recoverSnapshot(): Snapshot? {
        folder.listDirectoryEntries("*${ChecksummedFile.TEMPORARY_SUFFIX}")
            .forEach { it.deleteExisting() }
        val files = snapshotFiles()
        val snapshot = files.lastOrNull()?.let(::readSnapshotFile)
        files.dropLast(1).forEach { it.deleteExisting() }
        return snapshot
    }

    private fun readSnapshotFile(file: Path): Snapshot {
        val snapshot = ChecksummedFile.read(file)?.let(Snapshot::decode)
        if (snapshot == null || snapshotFile(snapshot.index) != file) {
            fail(StorageFailure.DamagedSnapshot(file))
        }
        return snapshot
    }

    private fun findSegments(): List<LogSegment> =
        folder.listDirectoryEntries().mapNotNull(LogSegment::of).sortedBy { it.firstIndex }

    private fun checkContinuity(base: Long, contents: List<SegmentContent>) {
        var expected: Long? = null
        segments.forEachIndexed { position, segment ->
            val isJoined = when (val next = expected) {
                null -> segment.firstIndex <= base + 1
                else -> segment.firstIndex == next
            }
            if (!isJoined) {
                val missing = StorageFailure.MissingEntries(
                    segment.file,
                    expected ?: (base + 1),
                    segment.firstIndex,
                )
                fail(missing)
            }
            expected = segment.firstIndex + contents[position].count
        }
    }

    private fun repairTail(last: SegmentContent?): TailRepair? {
        if (last == null || last.validBytes == last.fileBytes) return null
        val file = segments.last().file
        truncateFile(file, last.validBytes)
        return TailRepair(file, last.validBytes, last.fileBytes - last.validBytes)
    }

    /** Deletes newest first, so that files left by a crash do not seem to continue a snapshot. */
    private fun deleteSegments(index: Long) {
        closeActive()
        while (segments.isNotEmpty()) {
            segments.removeLast().file.deleteExisting()
            syncFolder(folder)
        }
        lastIndex = index
    }

    private fun channelForAppend(): FileChannel {
        val current = active ?: segments.lastOrNull()?.let { openActive(it) }
        if (current != null && current.size() < segmentBytes) return current
        current?.force(false)
        closeActive()
        val next = LogSegment.at(folder, lastIndex + 1)
        segments.addLast(next)
        val channel = openActive(next)
        channel.force(true)
        syncFolder(folder)
        return channel
    }

    private fun openActive(segment: LogSegment): FileChannel = FileChannel.open(
        segment.file,
        StandardOpenOption.CREATE,
        StandardOpenOption.WRITE,
        StandardOpenOption.APPEND,
    ).also { active = it }

    private fun closeActive() {
        active?.close()
        active = null
    }

    private fun truncateFile(file: Path, size: Long) {
        FileChannel.open(file, StandardOpenOption.WRITE).use { channel ->
            channel.truncate(size)
            channel.force(true)
        }
    }

    private fun snapshotFile(index: Long): Path =
        folder.resolve(SNAPSHOT_PREFIX + index.toString().padStart(INDEX_DIGITS, '0'))

    private fun snapshotFiles(): List<Path> = folder.listDirectoryEntries("$SNAPSHOT_PREFIX*")
        .filterNot { it.name.endsWith(ChecksummedFile.TEMPORARY_SUFFIX) }
        .sortedBy { it.name }

    companion object {
        private const val HARD_STATE_FILE = "hard-state"
        private const val SNAPSHOT_PREFIX = "snapshot-"
        private const val INDEX_DIGITS = 20

        /** Size in bytes at which a new log file is started. */
        const val DEFAULT_SEGMENT_BYTES: Long = 1L * 1024 * 1024

        /**
         * Locks [folder] and reads its hard state. An empty or missing folder is initialized for a
         * new replica with [newIdentity], which must come from a secure random source and is
         * ignored otherwise.
         */
        fun open(
            folder: Path,
            newIdentity: Long,
            segmentBytes: Long = DEFAULT_SEGMENT_BYTES,
        ): Result<FileLogStorage, StorageFailure> =
            open(folder, newIdentity, segmentBytes, DiskWriter.Plain)

        internal fun open(
            folder: Path,
            newIdentity: Long,
            segmentBytes: Long,
            disk: DiskWriter,
        ): Result<FileLogStorage, StorageFailure> = catching("opening $folder") {
            require(newIdentity != NO_IDENTITY) { "newIdentity must not be $NO_IDENTITY" }
            createDurably(folder.toAbsolutePath())
            val lock = FolderLock.acquire(folder) ?: fail(StorageFailure.FolderLocked(folder))
            try {
                val hardState = openHardState(folder, newIdentity, disk)
                FileLogStorage(folder, lock, hardState, segmentBytes, disk)
            } catch (thrown: Exception) {
                lock.close()
                throw thrown
            }
        }

        private fun createDurably(folder: Path) {
            val missing = generateSequence(folder) { it.parent }.takeWhile { !it.exists() }.toList()
            Files.createDirectories(folder)
            missing.forEach { syncFolder(it.parent) }
        }

        private fun openHardState(folder: Path, newIdentity: Long, disk: DiskWriter): HardState {
            val file = folder.resolve(HARD_STATE_FILE)
            if (file.exists()) return readHardState(file)
            val isUsed = folder.listDirectoryEntries()
                .any { LogSegment.of(it) != null || it.name.startsWith(SNAPSHOT_PREFIX) }
            if (isUsed) fail(StorageFailure.MissingHardState(file))
            return HardState(newIdentity).also { writeHardState(folder, it, disk) }
        }

        private fun readHardState(file: Path): HardState = try {
            val content = ChecksummedFile.read(file)
            content?.let { CONSENSUS_CBOR.decodeFromByteArray<HardState>(it) }
        } catch (_: SerializationException) {
            null
        } ?: fail(StorageFailure.DamagedHardState(file))

        private fun writeHardState(folder: Path, state: HardState, disk: DiskWriter) {
            val content = CONSENSUS_CBOR.encodeToByteArray(state)
            ChecksummedFile.write(folder.resolve(HARD_STATE_FILE), content, disk)
        }

        private fun <V> catching(operation: String, block: () -> V): Result<V, StorageFailure> =
            try {
                Ok(block())
            } catch (thrown: StorageFailureException) {
                Err(thrown.failure)
            } catch (thrown: IOException) {
                Err(StorageFailure.InputOutput(operation, thrown.toString()))
            }
    }
}
