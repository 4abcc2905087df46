package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import java.nio.charset.StandardCharsets.UTF_8

/**
 * Splits a stream of server-sent events at blank lines, so that only complete events are
 * forwarded, and records the identifier of the last one. Each byte is searched once.
 */
internal class EventSplitter(private val maximumEventBytes: Int = MAXIMUM_EVENT_BYTES) {
    private var buffer: ByteBuf = Unpooled.buffer()

    /** Bytes at the start of [buffer] that are known not to end an event. */
    private var searchedBytes = 0

    /** Whether the event in progress is longer than the limit. */
    val isEventTooLong: Boolean get() = buffer.readableBytes() > maximumEventBytes

    /** Identifier of the last complete event; null before the first one. */
    var lastIdentifier: String? = null
        private set

    /** Appends [bytes] and returns the events that are now complete in a new buffer. */
    fun append(bytes: ByteBuf): ByteBuf {
        buffer.writeBytes(bytes)
        val end = endOfLastEvent()
        val events = buffer.readBytes(end - buffer.readerIndex())
        buffer.discardReadBytes()
        searchedBytes = buffer.readableBytes()
        updateLastIdentifier(events)
        return events
    }

    /** Discards an incomplete event; the resumed stream sends it again. */
    fun discardPartialEvent() {
        buffer.clear()
        searchedBytes = 0
    }

    private fun endOfLastEvent(): Int {
        var index = buffer.writerIndex() - 1
        val first = buffer.readerIndex() + maxOf(searchedBytes, 1)
        while (index >= first) {
            if (buffer.getByte(index) == LINE_FEED && endsBlankLine(index)) return index + 1
            index -= 1
        }
        return buffer.readerIndex()
    }

    /** Lines end with a line feed, optionally preceded by a carriage return. */
    private fun endsBlankLine(index: Int): Boolean {
        if (buffer.getByte(index - 1) == LINE_FEED) return true
        val followsCarriageReturn = buffer.getByte(index - 1) == CARRIAGE_RETURN
        return followsCarriageReturn &&
            index - 2 >= buffer.readerIndex() &&
            buffer.getByte(index - 2) == LINE_FEED
    }

    private fun updateLastIdentifier(events: ByteBuf) {
        if (!events.isReadable) return
        val lines = events.toString(UTF_8).split('\n')
        val line = lines.lastOrNull { it.startsWith(IDENTIFIER_FIELD) } ?: return
        lastIdentifier = line.removePrefix(IDENTIFIER_FIELD).trim()
    }

    companion object {
        /** Maximum size in bytes of an event of a resumable stream. */
        const val MAXIMUM_EVENT_BYTES = 262_144
        private const val LINE_FEED = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val IDENTIFIER_FIELD = "id:"
    }
}
