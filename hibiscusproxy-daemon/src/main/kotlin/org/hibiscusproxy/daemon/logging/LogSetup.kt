package org.hibiscusproxy.daemon.logging

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import org.hibiscusproxy.daemon.settings.LogFormat
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Sends log lines to standard output in the form that the settings name. */
object LogSetup {
    private const val PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %msg%n%ex{5}"

    /** Applies [format] to all loggers of the process. */
    fun apply(format: LogFormat) {
        val context = LoggerFactory.getILoggerFactory() as LoggerContext
        context.reset()
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.INFO
        context.getLogger("io.javalin").level = Level.WARN
        context.getLogger("org.eclipse.jetty").level = Level.WARN
        val appender = ConsoleAppender<ILoggingEvent>()
        appender.context = context
        appender.encoder = encoder(format, context)
        appender.start()
        root.addAppender(appender)
    }

    private fun encoder(format: LogFormat, context: LoggerContext): Encoder<ILoggingEvent> {
        val encoder = when (format) {
            LogFormat.TEXT -> PatternLayoutEncoder().also { it.pattern = PATTERN }
            LogFormat.JSON -> JsonEncoder()
        }
        encoder.context = context
        encoder.start()
        return encoder
    }
}
