package org.hibiscusproxy.daemon.logging

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import ch.qos.logback.core.encoder.LayoutWrappingEncoder
import org.hibiscusproxy.daemon.settings.LogFormat
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Configures logging to standard output in the format given by the settings. */
object LogSetup {
    private const val STANDARD_ERROR = "System.err"
    private const val CONFIGURATION_FILE = "logback.configurationFile"

    /**
     * Has SLF4J use [DirectLogProvider], unless a configuration file is named. Called before the
     * first logger is created.
     */
    fun useDirectProvider() {
        if (System.getProperty(CONFIGURATION_FILE) != null) return
        System.setProperty(LoggerFactory.PROVIDER_PROPERTY_KEY, DirectLogProvider::class.java.name)
    }

    /** Applies [format] to all loggers of the process. */
    fun apply(format: LogFormat) {
        val context = LoggerFactory.getILoggerFactory() as LoggerContext
        context.reset()
        val encoder = when (format) {
            LogFormat.TEXT -> createLineEncoder(context)
            LogFormat.JSON -> JsonEncoder()
        }
        install(context, ConsoleAppender(), encoder)
    }

    /** Logs to standard error, for a process that has not loaded its settings. */
    internal fun applyInitial(context: LoggerContext) {
        val appender = ConsoleAppender<ILoggingEvent>().also { it.target = STANDARD_ERROR }
        install(context, appender, createLineEncoder(context))
    }

    private fun createLineEncoder(context: LoggerContext): Encoder<ILoggingEvent> {
        val layout = LineLayout()
        layout.context = context
        layout.start()
        return LayoutWrappingEncoder<ILoggingEvent>().also { it.layout = layout }
    }

    private fun install(
        context: LoggerContext,
        appender: ConsoleAppender<ILoggingEvent>,
        encoder: Encoder<ILoggingEvent>,
    ) {
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.INFO
        context.getLogger("io.javalin").level = Level.WARN
        context.getLogger("org.eclipse.jetty").level = Level.WARN
        encoder.context = context
        encoder.start()
        appender.context = context
        appender.encoder = encoder
        appender.start()
        root.addAppender(appender)
    }
}
