package org.hibiscusproxy.daemon.logging

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.ThrowableProxyUtil
import ch.qos.logback.core.LayoutBase
import java.time.Instant
import java.time.format.DateTimeFormatter
import java.time.format.DateTimeFormatterBuilder

/**
 * Formats an event as one line with the time in UTC with milliseconds, the level and the message,
 * followed by the first lines of an exception. Written in code because a pattern layout loads some
 * hundred classes at each start of a process.
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

        /** Length of the longest level name, which aligns the messages. */
        const val LEVEL_CHARACTERS = 5

        /** Message and innermost stack frames; bounds the size of a log entry. */
        const val EXCEPTION_LINES = 6
    }
}
