package org.hibiscusproxy.consensus

import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption
import java.util.zip.CRC32C
import kotlin.io.path.name

/**
 * A small file that is replaced atomically: written to a temporary file, synced and renamed. The
 * format is a magic number (4 bytes), the content length (4), its CRC32C (4) and the content.
 */
internal object ChecksummedFile {
    const val TEMPORARY_SUFFIX = ".tmp"
    private const val HEADER_BYTES = 12
    private const val MAGIC = 0x48424331

    fun write(file: Path, content: ByteArray, disk: DiskWriter = DiskWriter.Plain) {
        val buffer = ByteBuffer.allocate(HEADER_BYTES + content.size)
        buffer.putInt(MAGIC).putInt(content.size).putInt(checksum(content)).put(content).flip()
        val temporary = file.resolveSibling(file.name + TEMPORARY_SUFFIX)
        FileChannel.open(
            temporary,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE,
        ).use { channel ->
            disk.write(channel, buffer)
            channel.force(true)
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE)
        syncFolder(file.parent)
    }

    /** The content, or null if the file is damaged. */
    fun read(file: Path): ByteArray? {
        val buffer = ByteBuffer.wrap(Files.readAllBytes(file))
        if (buffer.limit() < HEADER_BYTES || buffer.getInt() != MAGIC) return null
        if (buffer.getInt() != buffer.limit() - HEADER_BYTES) return null
        val expected = buffer.getInt()
        val content = ByteArray(buffer.remaining())
        buffer.get(content)
        return content.takeIf { checksum(it) == expected }
    }

    private fun checksum(content: ByteArray): Int {
        val checksum = CRC32C()
        checksum.update(content)
        return checksum.value.toInt()
    }
}

/** Syncs [folder], which makes creation, renaming and deletion of its files durable. */
internal fun syncFolder(folder: Path) {
    FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }
}
