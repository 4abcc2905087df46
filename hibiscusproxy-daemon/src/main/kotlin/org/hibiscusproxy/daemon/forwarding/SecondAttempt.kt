package org.hibiscusproxy.daemon.forwarding

import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import org.hibiscusproxy.forwarding.ForwardingRoute

/**
 * Starts a second attempt of [exchange] if the first one has not been answered by the time that most
 * answers of its [route] take.
 */
internal class SecondAttempt(private val exchange: Exchange, private val route: ForwardingRoute) {
    private val node = exchange.node
    private var task: ScheduledFuture<*>? = null

    /** Called when the first attempt starts. */
    fun schedule() {
        val delay = node.hedging.delay(route.name) ?: return
        if (delay >= exchange.remaining) return
        task = node.loop.schedule(
            { exchange.guard(exchange::startSecondAttempt) },
            delay.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
    }

    fun cancel() {
        task?.cancel(false)
    }
}
