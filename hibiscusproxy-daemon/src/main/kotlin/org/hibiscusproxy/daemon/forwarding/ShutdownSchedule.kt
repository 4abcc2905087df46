package org.hibiscusproxy.daemon.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * Times of a graceful shutdown that began at [startedAt]. Callers may still send requests for
 * [acceptingTime]; a later one is served only if it ends within [limit], after which the requests
 * in progress are answered with a failure, before the platform ends the process.
 */
internal class ShutdownSchedule(
    private val startedAt: ComparableTimeMark,
    private val acceptingTime: Duration,
    private val limit: Duration,
) {
    /** Whether a request that arrives now and may take [timeout] is served. */
    fun permits(timeout: Duration): Boolean {
        val elapsed = startedAt.elapsedNow()
        return elapsed < acceptingTime || elapsed + timeout <= limit
    }
}
