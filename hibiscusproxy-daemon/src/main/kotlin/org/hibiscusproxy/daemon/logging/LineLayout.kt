package org.hibiscusproxy.daemon.logging

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.ThrowableProxyUtil
import ch.qos.logback.core.LayoutBase
import java.time.Instant
import java.time.format.DateTimeFormatter
import java.time.format.DateTimeFormatterBuilder

/**
 * One line for each event: time in UTC with milliseconds, level and message; the first lines of an
 * exception follow. A pattern would load some hundred classes at each start of a process.
 */
internal class LineLayout : LayoutBase<ILoggingEvent>() {
    override fun doLayout(event: ILoggingEvent): String = buildString(INITIAL_CHARACTERS) {
        TIME.formatTo(Instant.ofEpochMilli(event.timeStamp), this)
        append(' ').append(event.level.levelStr.padEnd(LEVEL_CHARACTERS))
        append(' ').append(event.formattedMessage).append('\n')
        event.throwableProxy?.let { thrown ->
            ThrowableProxyUtil.asString(thrown)
                .lineSequence()
                .take(EXCEPTION_LINES)
                .forEach { append(it).append('\n') }
        }
    }

    private companion object {
        val TIME: DateTimeFormatter = DateTimeFormatterBuilder().appendInstant(3).toFormatter()
        const val INITIAL_CHARACTERS = 160

        /** Length of the longest level, so that messages are aligned. */
        const val LEVEL_CHARACTERS = 5

        /** The message and the calls that led to it; lines of a log have to stay bounded. */
        const val EXCEPTION_LINES = 6
    }
}
