package org.hibiscusproxy.daemon.process

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.daemon.command.ExitCode
import org.hibiscusproxy.daemon.settings.Settings

/**
 * Halts the process if it still runs [limit] after its end was requested, for example because a
 * thread that the shutdown waits for has ended without memory. The thread waits from the start on,
 * since none can be started without memory.
 */
class EndDeadline(private val end: EndRequest, private val limit: Duration) {
    /** Starts a daemon thread that waits for the request. */
    fun start() {
        Thread(::waitAndHalt, "end deadline").apply { isDaemon = true }.start()
    }

    private fun waitAndHalt() {
        end.await()
        Thread.sleep(limit.inWholeMilliseconds)
        Runtime.getRuntime().halt(ExitCode.REFUSED.number)
    }

    companion object {
        /** A shutdown that works ends within its own limit and this time. */
        private val MARGIN = 5.seconds

        /** Limit for a process with [settings]; a forwarder ends within the platform's grace. */
        fun of(settings: Settings): Duration = when (val forwarder = settings.forwarder) {
            null -> settings.shutdownSeconds.seconds + MARGIN
            else -> minOf(settings.shutdownSeconds.seconds, forwarder.graceSeconds.seconds) + MARGIN
        }
    }
}
