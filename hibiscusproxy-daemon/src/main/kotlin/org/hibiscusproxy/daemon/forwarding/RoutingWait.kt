package org.hibiscusproxy.daemon.forwarding

import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/**
 * Lets [exchange] wait for routing and targets, for part of its caller's timeout. The time runs from
 * the arrival of the request, whatever is learned and lost meanwhile.
 *
 * @param onExpired called if routing and targets are not known in time
 */
internal class RoutingWait(private val exchange: Exchange, private val onExpired: () -> Unit) {
    private val node = exchange.node
    private var expiry: ScheduledFuture<*>? = null

    /**
     * Has [exchange] started once routing and targets are known. Calls [onExpired] instead if that
     * takes too long, or at once if routing is long overdue.
     */
    fun begin() {
        check(expiry == null) { "the wait has begun" }
        val callerTimeout = exchange.metadata.callerTimeout ?: MAXIMUM_WAIT
        val limit = minOf(callerTimeout * WAIT_FRACTION, MAXIMUM_WAIT)
        val remaining = limit - exchange.elapsed
        if (node.isRoutingOverdue || !remaining.isPositive()) return onExpired()
        node.addWaiting(exchange)
        expiry =
            node.loop.schedule(onExpired, remaining.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Ends the wait. */
    fun end() {
        node.removeWaiting(exchange)
        expiry?.cancel(false)
    }

    companion object {
        /** Routing is typically received within this time after a start. */
        val RETRY_AFTER = 500.milliseconds

        /** Fraction of the caller's timeout for which its request waits. */
        private const val WAIT_FRACTION = 0.5

        /** Controllers that start at the same time have elected a leader by then. */
        private val MAXIMUM_WAIT = 2_500.milliseconds
    }
}
