package org.hibiscusproxy.daemon.logging

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.core.spi.ContextAwareBase

/**
 * Configures logging to standard error until the settings are loaded, and for commands without
 * settings. It replaces an XML configuration, whose parser would be loaded at each start of a
 * process. Logback discovers it as a service and calls it first; a configuration file on the class
 * path or named by the system property takes precedence.
 */
class LogConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): ExecutionStatus {
        val hasConfigurationFile = System.getProperty(FILE_PROPERTY) != null ||
            FILES.any { javaClass.classLoader.getResource(it) != null }
        if (hasConfigurationFile) return ExecutionStatus.INVOKE_NEXT_IF_ANY
        LogSetup.applyInitial(context)
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private companion object {
        const val FILE_PROPERTY = "logback.configurationFile"
        val FILES = listOf("logback-test.xml", "logback.xml")
    }
}
