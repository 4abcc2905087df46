package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.Unpooled
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against events that are split wrongly, and against an event without an end. */
class EventSplitterTest {
    private val splitter = EventSplitter(maximumEventBytes = 64)

    private fun append(text: String): String {
        val bytes = Unpooled.copiedBuffer(text, Charsets.UTF_8)
        return splitter.append(bytes).toString(Charsets.UTF_8)
    }

    @Nested
    inner class `Complete events` {
        @Test
        fun `are the same however the stream is cut`() {
            val stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: 3\ndata: c\n\n"
            (1..stream.length).forEach { size ->
                val cut = EventSplitter()
                val parts = stream.chunked(size).map { part ->
                    cut.append(Unpooled.copiedBuffer(part, Charsets.UTF_8))
                        .toString(Charsets.UTF_8)
                }
                assertEquals(stream, parts.joinToString(""), "parts of $size bytes")
                assertEquals("3", cut.lastIdentifier)
                assertTrue(parts.all { it.isEmpty() || it.endsWith("\n") })
            }
        }

        @Test
        fun `are forwarded without the beginning of the next one`() {
            assertEquals("id: 1\ndata: a\n\n", append("id: 1\ndata: a\n\nid: 2\nda"))
            assertEquals("1", splitter.lastIdentifier)
            assertEquals("id: 2\ndata: b\n\n", append("ta: b\n\n"))
            assertEquals("2", splitter.lastIdentifier)
        }
    }

    @Nested
    inner class `An event without an end` {
        @Test
        fun `is too long once it exceeds the limit`() {
            append("id: 1\ndata: a\n\n" + "x".repeat(64))
            assertFalse(splitter.isEventTooLong)
            append("x")
            assertTrue(splitter.isEventTooLong)
        }

        @Test
        fun `leaves nothing behind when it is discarded`() {
            append("data: " + "x".repeat(100))
            splitter.discardPartialEvent()
            assertFalse(splitter.isEventTooLong)
            assertEquals("id: 2\n\n", append("id: 2\n\n"))
        }
    }
}
