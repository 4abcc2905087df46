package org.hibiscusproxy.consensus

import java.nio.channels.FileChannel
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Path
import java.nio.file.StandardOpenOption

/** Keeps a second process, or a second user in this one, off a data folder. */
internal class FolderLock private constructor(private val channel: FileChannel) : AutoCloseable {
    override fun close() = channel.close()

    companion object {
        private const val FILE = "lock"

        /** Locks [folder], or returns null if it is locked. */
        fun acquire(folder: Path): FolderLock? {
            val channel = FileChannel.open(
                folder.resolve(FILE),
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
            )
            val lock = try {
                channel.tryLock()
            } catch (_: OverlappingFileLockException) {
                null
            }
            if (lock != null) return FolderLock(channel)
            channel.close()
            return null
        }
    }
}
