package org.hibiscusproxy.daemon.forwarding

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.TargetSelector
import org.hibiscusproxy.forwarding.recordUnreachable
import org.hibiscusproxy.model.TargetName
import org.slf4j.LoggerFactory

/**
 * Finds targets that have lost power or are cut off. Their kept connections stay open, and each
 * would take one more request that is never answered. A target that sends nothing for a while after
 * a request is tested with a new connection; if that fails, the target is suspended and its idle
 * connections are closed. Requests in progress are left alone, since they may be running. Used on
 * the event loop only.
 */
internal class StallDetector(
    private val loop: EventLoop,
    private val pool: TargetPool,
    private val selector: TargetSelector,
    private val time: TimeSource.WithComparableMarks,
) {
    private val watched = HashMap<TargetName, WatchedTarget>()

    /** Called when a request was sent to [target]. */
    fun onSent(target: DiscoveredTarget) {
        val state = watched.getOrPut(target.name) { WatchedTarget() }
        if (state.silentSince == null) state.silentSince = time.markNow()
        if (!state.isCheckScheduled) schedule(target, state, SILENCE_LIMIT)
    }

    /** Called when bytes of [target] have arrived. */
    fun onReceived(target: TargetName) {
        watched[target]?.silentSince = null
    }

    /** Forgets targets that are not in [targets]. */
    fun prune(targets: Set<TargetName>) {
        watched.keys.retainAll(targets)
    }

    private fun schedule(target: DiscoveredTarget, state: WatchedTarget, delay: Duration) {
        state.isCheckScheduled = true
        loop.schedule(
            { check(target, state) },
            delay.inWholeMilliseconds + 1,
            TimeUnit.MILLISECONDS,
        )
    }

    private fun check(target: DiscoveredTarget, state: WatchedTarget) {
        state.isCheckScheduled = false
        val silentSince = state.silentSince ?: return
        val remaining = SILENCE_LIMIT - silentSince.elapsedNow()
        if (remaining.isPositive()) return schedule(target, state, remaining)
        state.silentSince = null
        test(target)
    }

    private fun test(target: DiscoveredTarget) = pool.connect(target) { result ->
        when (result) {
            is ConnectResult.Connected -> result.connection.cancel()

            is ConnectResult.Failed -> {
                LOG.info(
                    "forwarder: event=stall target={} cause={}",
                    target.name,
                    result.cause.message,
                )
                selector.recordUnreachable(target.name)
                pool.closeIdle(target.name)
            }
        }
    }

    private class WatchedTarget {
        /** When a request was sent after which nothing has arrived; null if there is none. */
        var silentSince: ComparableTimeMark? = null
        var isCheckScheduled = false
    }

    private companion object {
        /** Sound targets send something within this time unless they are nearly idle and slow. */
        val SILENCE_LIMIT = 400.milliseconds
        val LOG = LoggerFactory.getLogger(StallDetector::class.java)
    }
}
