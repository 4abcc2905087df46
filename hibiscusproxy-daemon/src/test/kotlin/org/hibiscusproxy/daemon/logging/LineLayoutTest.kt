package org.hibiscusproxy.daemon.logging

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.LoggingEvent
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LineLayoutTest {
    private fun line(level: Level, thrown: Throwable? = null): String {
        val logger = LoggerContext().getLogger("test")
        val event = LoggingEvent("", logger, level, "event={}", thrown, arrayOf("started"))
        event.setInstant(Instant.parse("2026-12-04T08:00:00.050Z"))
        return LineLayout().doLayout(event)
    }

    @Test
    fun `formats time, level and message in columns`() {
        assertEquals("2026-12-04T08:00:00.050Z INFO  event=started\n", line(Level.INFO))
        assertEquals("2026-12-04T08:00:00.050Z ERROR event=started\n", line(Level.ERROR))
    }

    @Test
    fun `appends the first lines of an exception`() {
        val lines = line(Level.WARN, IllegalStateException("no disk")).trimEnd().lines()
        assertEquals("java.lang.IllegalStateException: no disk", lines[1])
        assertTrue(lines.size in 3..7, "$lines")
    }
}
