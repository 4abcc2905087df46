package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.ByteBuf

/** Tells whether the bytes of a stream so far end between two of its events. */
internal class EventBoundary {
    private var hasBytes = false
    private var lineFeeds = 0

    /** Whether the last event is complete; false before the first one. */
    val isAfterEvent: Boolean get() = lineFeeds >= LINE_FEEDS_AFTER_EVENT

    /** Whether an event has begun and is not complete. */
    val isWithinEvent: Boolean get() = hasBytes && !isAfterEvent

    fun append(bytes: ByteBuf) {
        val start = maxOf(bytes.readerIndex(), bytes.writerIndex() - MAXIMUM_ENDING_BYTES)
        if (bytes.isReadable) hasBytes = true
        for (index in start until bytes.writerIndex()) {
            when (bytes.getByte(index)) {
                LINE_FEED -> lineFeeds += 1
                CARRIAGE_RETURN -> Unit
                else -> lineFeeds = 0
            }
        }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()

        /** An event ends with its last line and an empty one. */
        const val LINE_FEEDS_AFTER_EVENT = 2

        /** Two line feeds, each preceded by a carriage return, and the byte before them. */
        const val MAXIMUM_ENDING_BYTES = 5
    }
}
