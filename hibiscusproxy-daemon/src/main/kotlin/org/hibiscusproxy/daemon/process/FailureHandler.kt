package org.hibiscusproxy.daemon.process

import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * What happens on failures that nothing else handles:
 * - The failure of a role ends the process. The other roles drain first; without others, [halt] ends
 *   the process at once.
 * - An uncaught error, such as a lack of memory, ends the process after its roles have drained,
 *   since a thread that others wait for may have ended.
 * - An uncaught exception is logged; loops and event loops go on after one.
 */
internal class FailureHandler(
    private val end: EndRequest,
    private val hasOneRole: Boolean,
    private val halt: (EndCause) -> Unit,
) : Thread.UncaughtExceptionHandler {
    /** Handles the [failure] of a running role. */
    fun onRoleFailure(failure: Throwable) {
        val cause = EndCause.RoleFailed(failure)
        if (hasOneRole) halt(cause) else end.make(cause)
        LOG.error("process: A role failed. {}", failure.message)
    }

    override fun uncaughtException(thread: Thread, failure: Throwable) {
        if (failure is Error) end.make(EndCause.Uncaught(thread.name, failure))
        LOG.error("process: Uncaught failure in the thread {}.", thread.name, failure)
    }

    private companion object {
        val LOG: Logger = LoggerFactory.getLogger(FailureHandler::class.java)
    }
}
