package org.hibiscusproxy.consensus

import java.io.ByteArrayOutputStream

/** Assembles a snapshot from the chunks that one leader sends during one term. */
internal class SnapshotReceiver {
    private var term = 0L
    private var index = 0L
    private var content = ByteArrayOutputStream()

    /** The latest complete snapshot, until [clear] is called. */
    var complete: Snapshot? = null
        private set

    /** Adds [chunk] if it is the next one, and returns the number of bytes received so far. */
    fun add(chunk: SnapshotChunk): Int {
        if (chunk.term != term || chunk.index != index) reset(chunk)
        if (chunk.offset == content.size()) content.writeBytes(chunk.content.bytes)
        if (content.size() < chunk.totalBytes) return content.size()
        val decoded = Snapshot.decode(content.toByteArray())
        reset(chunk)
        if (decoded == null) return 0
        complete = decoded
        return chunk.totalBytes
    }

    fun clear() {
        term = 0
        complete = null
        content = ByteArrayOutputStream()
    }

    private fun reset(chunk: SnapshotChunk) {
        term = chunk.term
        index = chunk.index
        content = ByteArrayOutputStream()
    }
}
