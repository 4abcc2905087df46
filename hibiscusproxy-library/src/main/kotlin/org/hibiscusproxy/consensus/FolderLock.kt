package org.hibiscusproxy.consensus

import java.nio.channels.FileChannel
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Path
import java.nio.file.StandardOpenOption

/** Exclusive lock on a data folder, against other processes and other users in this process. */
internal class FolderLock private constructor(private val channel: FileChannel) : AutoCloseable {
    override fun close() = channel.close()

    companion object {
        private const val FILE = "lock"

        /** Locks [folder], or returns null if it is already locked. */
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
