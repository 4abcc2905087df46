package org.hibiscusproxy.daemon.process

import kotlin.time.Duration.Companion.nanoseconds
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Log lines about signals; created once the log is configured. */
internal class SignalLog {
    /** Logs how long the process could not handle signals, until [nanoseconds] ago. */
    fun writeInstallation(nanoseconds: Long) {
        val age = ProcessAge.read()?.minus(nanoseconds.nanoseconds)
        LOG.info(
            "process: Signal handlers were installed {} ms after the start of the process.",
            age?.inWholeMilliseconds ?: "an unknown number of",
        )
    }

    /** Logs a signal that [text] describes. */
    fun writeSignal(text: String) = LOG.info("process: {}.", text)

    private companion object {
        val LOG: Logger = LoggerFactory.getLogger(ProcessSignals::class.java)
    }
}
