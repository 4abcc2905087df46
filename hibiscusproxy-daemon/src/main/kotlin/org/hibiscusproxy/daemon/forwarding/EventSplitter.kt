package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import java.nio.charset.StandardCharsets.UTF_8

/**
 * Cuts the bytes of an event stream behind each blank line, so that only whole events are passed
 * on, and remembers the identifier of the last one.
 */
internal class EventSplitter {
    private var partial: ByteBuf = Unpooled.buffer()

    /** Identifier of the last whole event; null before the first one. */
    var lastIdentifier: String? = null
        private set

    /** Whether bytes of an unfinished event are held back. */
    val hasPartial: Boolean get() = partial.isReadable

    /** Takes [bytes] and returns the whole events that they complete, as new bytes. */
    fun take(bytes: ByteBuf): ByteBuf {
        partial.writeBytes(bytes)
        val end = endOfLastEvent()
        val whole = partial.readBytes(end - partial.readerIndex())
        partial.discardReadBytes()
        rememberIdentifier(whole)
        return whole
    }

    /** Drops an unfinished event; the resumed stream sends it again. */
    fun dropPartial() {
        partial.clear()
    }

    private fun endOfLastEvent(): Int {
        var index = partial.writerIndex() - 1
        while (index > partial.readerIndex()) {
            if (partial.getByte(index) == LINE_END && endsBlankLine(index)) return index + 1
            index -= 1
        }
        return partial.readerIndex()
    }

    /** Lines end with a line feed, which a carriage return may precede. */
    private fun endsBlankLine(index: Int): Boolean {
        if (partial.getByte(index - 1) == LINE_END) return true
        val isAfterReturn = partial.getByte(index - 1) == RETURN
        return isAfterReturn &&
            index - 2 >= partial.readerIndex() &&
            partial.getByte(index - 2) == LINE_END
    }

    private fun rememberIdentifier(events: ByteBuf) {
        if (!events.isReadable) return
        val lines = events.toString(UTF_8).split('\n')
        val line = lines.lastOrNull { it.startsWith(IDENTIFIER_FIELD) } ?: return
        lastIdentifier = line.removePrefix(IDENTIFIER_FIELD).trim()
    }

    private companion object {
        const val LINE_END = '\n'.code.toByte()
        const val RETURN = '\r'.code.toByte()
        const val IDENTIFIER_FIELD = "id:"
    }
}
