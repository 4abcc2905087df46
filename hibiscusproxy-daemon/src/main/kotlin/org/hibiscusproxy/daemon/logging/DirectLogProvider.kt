package org.hibiscusproxy.daemon.logging

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.util.LogbackMDCAdapter
import ch.qos.logback.core.CoreConstants
import org.slf4j.ILoggerFactory
import org.slf4j.IMarkerFactory
import org.slf4j.helpers.BasicMarkerFactory
import org.slf4j.spi.MDCAdapter
import org.slf4j.spi.SLF4JServiceProvider

/**
 * Connects SLF4J to a logback context that [LogSetup] configures. Logback's own provider looks for
 * configurators and configuration files first, for which callers wait at the start of a process.
 */
class DirectLogProvider : SLF4JServiceProvider {
    private val context = LoggerContext()
    private val markers = BasicMarkerFactory()
    private val diagnostics = LogbackMDCAdapter()

    override fun initialize() {
        context.name = CoreConstants.DEFAULT_CONTEXT_NAME
        context.mdcAdapter = diagnostics
        LogSetup.applyInitial(context)
        context.start()
    }

    override fun getLoggerFactory(): ILoggerFactory = context

    override fun getMarkerFactory(): IMarkerFactory = markers

    override fun getMDCAdapter(): MDCAdapter = diagnostics

    override fun getRequestedApiVersion(): String = SUPPORTED_API_VERSION

    private companion object {
        /** Any 2.0 release of SLF4J. */
        const val SUPPORTED_API_VERSION = "2.0.99"
    }
}
