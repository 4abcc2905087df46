package org.hibiscusproxy.consensus

import java.io.ByteArrayOutputStream

/** Puts a snapshot together from the chunks that one leader sends during one term. */
internal class SnapshotReceiver {
    private var term = 0L
    private var index = 0L
    private var content = ByteArrayOutputStream()

    /** The newest complete snapshot, until [clear] is called. */
    var complete: Snapshot? = null
        private set

    /** Takes [chunk] if it is the next one and returns how many bytes are there now. */
    fun take(chunk: SnapshotChunk): Int {
        if (chunk.term != term || chunk.index != index) begin(chunk)
        if (chunk.offset == content.size()) content.writeBytes(chunk.content.bytes)
        if (content.size() < chunk.totalBytes) return content.size()
        val decoded = Snapshot.decode(content.toByteArray())
        begin(chunk)
        if (decoded == null) return 0
        complete = decoded
        return chunk.totalBytes
    }

    fun clear() {
        term = 0
        complete = null
        content = ByteArrayOutputStream()
    }

    private fun begin(chunk: SnapshotChunk) {
        term = chunk.term
        index = chunk.index
        content = ByteArrayOutputStream()
    }
}
