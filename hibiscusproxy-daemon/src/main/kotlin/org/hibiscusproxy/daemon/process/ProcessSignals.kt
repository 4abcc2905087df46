package org.hibiscusproxy.daemon.process

import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import sun.misc.Signal
import sun.misc.SignalHandler

/** Logs each signal that the process receives with its [phase], and passes it on. */
class ProcessSignals {
    private var installedAt: ComparableTimeMark = TimeSource.Monotonic.markNow()

    /** Phase of the process, for the log. */
    @Volatile
    var phase: ProcessPhase = ProcessPhase.STARTING

    /** Installs the handlers. */
    fun install() {
        installedAt = TimeSource.Monotonic.markNow()
        SIGNALS.forEach { handle(it, null) }
    }

    /** Passes the signal [name] to [handler] from now on, or to the former handler if null. */
    fun handle(name: String, handler: SignalHandler?) {
        var next = handler
        val former = Signal.handle(Signal(name)) { signal ->
            LOG.info("process: SIG{} received while {}.", signal.name, phase.text)
            next?.handle(signal)
        }
        if (next == null) next = former
    }

    /** Logs how long the process could not handle signals. */
    fun logInstallation() {
        val age = ProcessAge.read()?.minus(installedAt.elapsedNow())
        LOG.info(
            "process: Signal handlers were installed {} ms after the start of the process.",
            age?.inWholeMilliseconds ?: "an unknown number of",
        )
    }

    private companion object {
        val SIGNALS = listOf("HUP", "TERM", "INT")
        val LOG: Logger = LoggerFactory.getLogger(ProcessSignals::class.java)
    }
}
