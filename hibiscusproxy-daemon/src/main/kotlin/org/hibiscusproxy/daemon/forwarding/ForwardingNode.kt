package org.hibiscusproxy.daemon.forwarding

import io.micrometer.core.instrument.MeterRegistry
import io.netty.channel.EventLoop
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.daemon.settings.ForwarderSettings
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.RetryLimiter
import org.hibiscusproxy.forwarding.RouteIndex
import org.hibiscusproxy.forwarding.TargetSelector
import org.hibiscusproxy.protocol.EntryLoad
import org.hibiscusproxy.protocol.FleetLoad
import org.hibiscusproxy.protocol.RoutingChange
import org.hibiscusproxy.protocol.RoutingUpdate
import org.slf4j.LoggerFactory

/**
 * What all requests of one entry share: routing, targets, connections and allowances. Everything
 * here is used on [loop] only, so that no lock is needed.
 */
internal class ForwardingNode(
    settings: ForwarderSettings,
    val wire: WireFormat,
    val loop: EventLoop,
    registry: MeterRegistry,
    val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    val random = Random.Default
    val selector = TargetSelector(settings.loadMultiple, time, random)
    val pool = TargetPool(loop, wire)
    val log = DecisionLog(registry, time)
    val repeats = RetryLimiter(
        settings.retryRatio,
        settings.retrySlack,
        settings.retryWindowSeconds.seconds,
        time,
    )

    /** Routes in force; null until the first configuration has come. */
    var routes: RouteIndex? = null
        private set

    /** Revision of the routing in force. It never goes back. */
    var revision = 0L
        private set

    /** Whether the entry finishes what it has and takes no new callers. */
    var isDraining = false

    /** Requests in progress. */
    var exchanges = 0

    private val held = LinkedHashSet<Exchange>()

    /** Keeps [exchange] until routing and targets are known, or until its wait times out. */
    fun hold(exchange: Exchange) {
        held += exchange
    }

    /** [exchange] does not wait any more. */
    fun release(exchange: Exchange) {
        held -= exchange
    }

    private fun startHeld() {
        if (!isServing) return
        val waiting = held.toList()
        held.clear()
        waiting.forEach { it.start() }
    }

    /** Whether the entry can serve: it knows routes and targets. */
    val isServing: Boolean get() = routes != null && selector.hasTargets

    /** Puts [update] in force unless a newer one is. */
    fun take(update: RoutingUpdate) {
        if (update.revision <= revision) return
        val configuration = update.configuration ?: return
        revision = update.revision
        if (routes?.configuration != configuration) routes = RouteIndex(configuration)
        selector.updateRouting(configuration.services, update.drained)
        LOG.info(
            "forwarder: event=routing revision={} version={} routes={} drained={}",
            revision,
            configuration.version,
            configuration.routes.size,
            update.drained,
        )
        startHeld()
    }

    /** Puts [change] in force if it follows the routing here; else a whole update has to come. */
    fun take(change: RoutingChange) {
        val base = routes?.configuration ?: return
        if (change.base != revision) return
        val next = change.difference?.applyTo(base) ?: base
        take(RoutingUpdate(change.revision, next, change.drained))
    }

    /** Takes the platform's list. */
    fun take(targets: List<DiscoveredTarget>) {
        selector.updateTargets(targets)
        pool.prune(targets.mapTo(HashSet()) { it.name })
        startHeld()
    }

    /** Takes what the other entries have in progress. */
    fun take(load: FleetLoad) = selector.updateFleetLoad(load.entries, load.uses, load.prompts)

    /** What this entry has in progress and sent, for the others. */
    fun load() = EntryLoad(selector.ownUsage(), selector.takeSentPrompts())

    private companion object {
        val LOG = LoggerFactory.getLogger(ForwardingNode::class.java)
    }
}
