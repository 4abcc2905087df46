package org.hibiscusproxy.daemon.forwarding

import io.micrometer.core.instrument.Gauge
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.hibiscusproxy.daemon.Role
import org.hibiscusproxy.daemon.RoleContext
import org.hibiscusproxy.daemon.openListener
import org.hibiscusproxy.daemon.repeatGuarded
import org.hibiscusproxy.daemon.settings.Settings
import org.hibiscusproxy.daemon.transport.KtorPeerTransport
import org.hibiscusproxy.daemon.transport.toTransportSettings
import org.hibiscusproxy.forwarding.ControllerClock
import org.hibiscusproxy.protocol.ControlMessage
import org.hibiscusproxy.protocol.CrashSuspects
import org.hibiscusproxy.protocol.FleetLoad
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.RefusalList
import org.hibiscusproxy.protocol.RoutingChange
import org.hibiscusproxy.protocol.RoutingUpdate
import org.hibiscusproxy.protocol.StreamAnswer
import org.hibiscusproxy.protocol.TargetList

/**
 * The forwarder role: forwards HTTP requests directly to targets, by host and path. While no
 * controller is reachable, it continues with the latest routing it received. A process that has
 * received no routing refuses all requests and is not ready.
 */
class Forwarder(
    private val settings: Settings,
    private val context: RoleContext,
    wire: WireFormat,
) : Role {
    private val section = requireNotNull(settings.forwarder) { "no forwarder section: $settings" }
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val transport = KtorPeerTransport(
        Hello(settings.name, settings.dataCenter, context.incarnation),
        context.key,
        context.registry,
        settings.toTransportSettings(),
    )
    private val controllers = object : ControllerLink {
        override fun sendToAll(message: ControlMessage) = send { feed.sendToAll(message) }

        override fun sendToLeader(message: ControlMessage) = send { feed.sendToLeader(message) }
    }
    private val node = ForwardingNode(
        section,
        wire,
        loop,
        context.registry,
        controllers,
        dataCenter = settings.dataCenter,
    )
    private val server = ForwardingServer(group, node)
    private val feed: ControllerFeed = ControllerFeed(
        settings.controllers.map { it.name },
        settings.controllerPeerPort,
        transport,
        scope,
        { routingRevision },
        ::onMessage,
        onLeaderFound = { loop.execute(node::onLeaderFound) },
    )
    private val readinessPath = wire.readinessPath

    @Volatile
    private var routingRevision = 0L

    @Volatile
    override var isReady = false
        private set

    override suspend fun start() {
        Gauge.builder("forwarder.exchanges") {
            node.activeExchanges.toDouble()
        }.register(context.registry)
        Gauge.builder("forwarder.memory.bytes") { node.memory.budget.usedBytes.toDouble() }
            .register(context.registry)
        Gauge.builder("forwarder.connections") { node.admission.connections.size.toDouble() }
            .register(context.registry)
        Gauge.builder("forwarder.routing.revision") { routingRevision.toDouble() }
            .register(context.registry)
        val paths = setOf(readinessPath, "/ready")
        val status = StatusHandler(paths, ::isReady, context.metricsText)
        openListener("forwarder", section.readiness) {
            server.listenForStatus(section.readiness, status)
        }
        openListener("forwarder", section.listen) { server.listenForCallers(section.listen) }
        feed.start()
        Gauge.builder("forwarder.crash.refusals") { node.refusals.size.toDouble() }
            .register(context.registry)
        // Requests that crash targets come at other forwarders until the controllers know of it.
        node.onCrash = { scope.launch { shareEvidence() } }
        scope.launch { reportLoads() }
    }

    override fun reload(settings: Settings) = feed.follow(settings.controllers.map { it.name })

    private fun send(block: suspend () -> Unit) {
        scope.launch { block() }
    }

    private fun onMessage(message: PeerMessage, clock: ControllerClock) = loop.execute {
        node.recordControllerMessage()
        when (message) {
            is RoutingUpdate -> node.applyRouting(message)
            is RoutingChange -> node.applyRoutingChange(message)
            is TargetList -> node.updateTargets(message, clock)
            is FleetLoad -> node.updateFleetLoad(message)
            is CrashSuspects -> node.crashes.updateSuspects(message)
            is RefusalList -> node.refusals.add(message)
            is StreamAnswer -> node.lookup.receive(message)
            else -> Unit
        }
        routingRevision = node.revision
        isReady = node.isServing && !node.isDraining
    }

    private suspend fun reportLoads(): Nothing {
        repeatGuarded("forwarder") {
            delay(REPORT_INTERVAL)
            val load = withContext(loop.asCoroutineDispatcher()) {
                node.logCounts()
                node.logShortages()
                node.currentLoad()
            }
            feed.report(load)
            shareEvidence()
        }
    }

    private suspend fun shareEvidence() = feed.shareEvidence(node.crashes.sequence) { sent ->
        withContext(loop.asCoroutineDispatcher()) { node.crashes.evidenceAfter(sent) }
    }

    /**
     * Reports itself as not ready, continues to serve until the platform sends no new connections,
     * then waits for the requests in progress and closes connections that have been idle for a
     * moment: the request of a new one may be on its way. Requests that are still in progress
     * shortly before the platform ends the process, or after [timeout], are answered with a failure;
     * returns their number.
     */
    override suspend fun drain(timeout: Duration): Int {
        val startedAt = TimeSource.Monotonic.markNow()
        val grace = section.graceSeconds.seconds
        val limit = minOf(timeout, maxOf(grace - END_MARGIN, grace / 2))
        val acceptingTime = minOf(NOT_READY_TIME, limit / 2)
        isReady = false
        withContext(loop.asCoroutineDispatcher()) {
            node.shutdown = ShutdownSchedule(startedAt, acceptingTime, limit)
        }
        delay(acceptingTime)
        withContext(loop.asCoroutineDispatcher()) {
            server.stopAccepting()
        }
        while (closeIdle() > 0 && startedAt.elapsedNow() < limit) delay(DRAIN_CHECK_INTERVAL)
        val ended = withContext(loop.asCoroutineDispatcher()) { server.endRequests() }
        val endedAt = TimeSource.Monotonic.markNow()
        while (ended > 0 && closeIdle() > 0 && endedAt.elapsedNow() < WRITE_TIME) {
            delay(DRAIN_CHECK_INTERVAL)
        }
        return ended
    }

    private suspend fun closeIdle(): Int =
        withContext(loop.asCoroutineDispatcher()) { server.closeIdle(MINIMUM_IDLE_TIME) }

    override fun close() {
        scope.cancel()
        server.close()
        transport.close()
        group.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Equals the interval at which controllers send the total load. */
        val REPORT_INTERVAL = 250.milliseconds

        /** The platform checks readiness once a second and removes a process after two failures. */
        val NOT_READY_TIME = 3.seconds

        /** Callers send the first request well within this time after they have connected. */
        val MINIMUM_IDLE_TIME = 500.milliseconds
        val DRAIN_CHECK_INTERVAL = 20.milliseconds

        /** Time before the end of the grace in which the last answers are written. */
        val END_MARGIN = 400.milliseconds

        /** Time for which the last answers are waited for. */
        val WRITE_TIME = 200.milliseconds
    }
}
