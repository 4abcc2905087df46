package org.hibiscusproxy.daemon.logging

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.core.spi.ContextAwareBase

/**
 * Sends log lines to standard error until the settings are read, and for commands that read none.
 * It takes the place of a file in XML, whose parser would be loaded at each start of a process.
 * Logback finds it as a service and asks it first; a file on the class path wins.
 */
class LogConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): ExecutionStatus {
        val isElsewhere = System.getProperty(FILE_PROPERTY) != null ||
            FILES.any { javaClass.classLoader.getResource(it) != null }
        if (isElsewhere) return ExecutionStatus.INVOKE_NEXT_IF_ANY
        LogSetup.applyInitial(context)
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private companion object {
        const val FILE_PROPERTY = "logback.configurationFile"
        val FILES = listOf("logback-test.xml", "logback.xml")
    }
}
