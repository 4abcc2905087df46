package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * Collects a body of unknown length in pieces. A buffer that grew in place would hold the old and the
 * new copy of a body at once.
 */
internal class BodyBuffer {
    private val full = Unpooled.compositeBuffer(Int.MAX_VALUE)
    private var last: ByteBuf? = null

    /** Number of bytes that were added. */
    var size = 0
        private set

    /** Number of bytes of memory in use. */
    var allocated = 0L
        private set

    /** Adds the readable bytes of [content]. */
    fun add(content: ByteBuf) {
        size += content.readableBytes()
        while (content.isReadable) {
            val piece = last?.takeIf { it.isWritable } ?: nextPiece(content.readableBytes())
            val count = minOf(piece.writableBytes(), content.readableBytes())
            piece.writeBytes(content, count)
        }
    }

    private fun nextPiece(needed: Int): ByteBuf {
        last?.let { full.addComponent(true, it) }
        val bytes = maxOf(needed, size - needed).coerceIn(MINIMUM_PIECE, MAXIMUM_PIECE)
        allocated += bytes
        return Unpooled.buffer(bytes, bytes).also { last = it }
    }

    /** Returns the body, which the caller has to release. The buffer must not be used afterwards. */
    fun finish(): ByteBuf {
        val piece = last ?: return full
        last = null
        if (full.numComponents() > 0) return full.addComponent(true, piece)
        full.release()
        return piece
    }

    /** Frees the memory. */
    fun release() {
        last?.release()
        last = null
        full.release()
        allocated = 0
    }

    private companion object {
        const val MINIMUM_PIECE = 256
        const val MAXIMUM_PIECE = 65_536
    }
}
