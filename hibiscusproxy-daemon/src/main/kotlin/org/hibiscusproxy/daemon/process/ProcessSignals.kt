package org.hibiscusproxy.daemon.process

import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import sun.misc.Signal
import sun.misc.SignalHandler

/**
 * The signals that the process receives. SIGHUP asks for a reload of the settings; it is kept until
 * [awaitReload] takes it, so that one that arrives during the start is not lost. SIGTERM and SIGINT
 * ask for the end of the process in the same way.
 *
 * Created and installed before anything else, because until then a SIGHUP ends the process. It
 * therefore loads few classes, and logs only after [startLog].
 */
class ProcessSignals : SignalHandler {
    private val reloads = Semaphore(0)
    private val unlogged = ArrayList<String>()
    private var installedAt = 0L
    private var log: SignalLog? = null

    /** The request to end the process. */
    val end = EndRequest()

    /** Phase of the process, for the log. */
    @Volatile
    var phase: ProcessPhase = ProcessPhase.STARTING

    /** Installs the handlers, unless they are installed. */
    fun install() {
        if (installedAt != 0L) return
        Signal.handle(Signal(RELOAD), this)
        Signal.handle(Signal("TERM"), this)
        Signal.handle(Signal("INT"), this)
        installedAt = System.nanoTime()
    }

    override fun handle(signal: Signal) {
        // Without memory the line cannot be written; the signal has to count all the same.
        try {
            record(signal.name)
        } finally {
            val isReload = signal.name == RELOAD
            if (isReload) reloads.release() else end.make(EndCause.Signalled(signal.name))
        }
    }

    /**
     * Waits until a reload of the settings is asked for or [milliseconds] have passed, and returns
     * whether one is. Requests that were made meanwhile count as one.
     */
    fun awaitReload(milliseconds: Long): Boolean {
        if (!reloads.tryAcquire(milliseconds, TimeUnit.MILLISECONDS)) return false
        reloads.drainPermits()
        return true
    }

    /** Logs the signals from now on, and those received before. */
    @Synchronized
    fun startLog() {
        val started = SignalLog()
        started.writeInstallation(System.nanoTime() - installedAt)
        unlogged.forEach(started::writeSignal)
        unlogged.clear()
        log = started
    }

    @Synchronized
    private fun record(signal: String) {
        val text = "SIG$signal received while ${phase.text}"
        log?.writeSignal(text) ?: unlogged.add(text)
    }

    private companion object {
        const val RELOAD = "HUP"
    }
}
