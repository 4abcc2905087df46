package org.hibiscusproxy.consensus

import java.nio.ByteBuffer
import java.nio.channels.FileChannel

/** Writes to the files of a data folder; tests replace it by a disk that takes no more bytes. */
internal fun interface DiskWriter {
    /**
     * Writes all of [buffer] to [channel].
     *
     * @throws java.io.IOException when the disk refuses, possibly after a part was written
     */
    fun write(channel: FileChannel, buffer: ByteBuffer)

    /** Writes to the disk itself. */
    object Plain : DiskWriter {
        override fun write(channel: FileChannel, buffer: ByteBuffer) {
            while (buffer.hasRemaining()) channel.write(buffer)
        }
    }
}
