package org.hibiscusproxy.daemon.forwarding

import io.micrometer.core.instrument.MeterRegistry
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.daemon.settings.ForwarderSettings
import org.hibiscusproxy.forwarding.CallerMemoryBudget
import org.hibiscusproxy.forwarding.ControllerClock
import org.hibiscusproxy.forwarding.CrashObserver
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.HedgingPolicy
import org.hibiscusproxy.forwarding.ListPlacement
import org.hibiscusproxy.forwarding.RefusedRequests
import org.hibiscusproxy.forwarding.RetryLimiter
import org.hibiscusproxy.forwarding.RolloutTargets
import org.hibiscusproxy.forwarding.RouteIndex
import org.hibiscusproxy.forwarding.ServiceVersion
import org.hibiscusproxy.forwarding.StreamOrigins
import org.hibiscusproxy.forwarding.TargetListOrder
import org.hibiscusproxy.forwarding.TargetSelector
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.protocol.EntryLoad
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.FleetLoad
import org.hibiscusproxy.protocol.RoutingChange
import org.hibiscusproxy.protocol.RoutingUpdate
import org.hibiscusproxy.protocol.StreamsBegun
import org.hibiscusproxy.protocol.TargetList
import org.hibiscusproxy.rollout.EvidenceCollector
import org.hibiscusproxy.rollout.ExposureLimits
import org.slf4j.LoggerFactory

/**
 * State shared by all requests of a forwarder: routing, targets, connections and retry limits.
 * Confined to [loop], so no lock is needed.
 */
internal class ForwardingNode(
    settings: ForwarderSettings,
    val wire: WireFormat,
    val loop: EventLoop,
    registry: MeterRegistry,
    private val controllers: ControllerLink,
    val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    dataCenter: DataCenterName? = null,
    connector: TargetConnector = TcpTargetConnector(loop),
    val random: Random = Random.Default,
) {
    val log = RequestLog(registry, time)
    private val rolloutLog = RolloutLog(registry, log, time)
    private val rollouts = RolloutTargets(
        ExposureLimits(settings.exposureShare, settings.exposureSlack),
        time,
        random,
        rolloutLog::record,
    )
    val selector = TargetSelector(settings.loadMultiple, time, random, dataCenter, rollouts)

    /** Outcomes of requests by the software versions of the targets, while rollouts are running. */
    val evidence = EvidenceCollector()
    val memory = CallerMemory(
        settings.callerMemoryBytes
            ?: CallerMemoryBudget.defaultBytes(Runtime.getRuntime().maxMemory()),
        log,
        time,
    )
    val admission = CallerAdmission(
        settings.maximumCallerConnections
            ?: CallerAdmission.defaultMaximum(settings.maximumDescriptors ?: OpenFileLimit.read()),
        log,
    )
    val pool = TargetPool(connector, wire, log, time)
    val crashes = CrashObserver(time)
    val refusals = RefusedRequests(time, random)
    val crashDetector = CrashDetector(loop, pool, selector, crashes, time) { onCrash() }
    val stalls = StallDetector(loop, pool, selector, time)
        .also { pool.onReceived = it::onReceived }
    val origins = StreamOrigins(time)
    val lookup = StreamLookup(loop, time, controllers::sendToAll)
    val retryLimiter = RetryLimiter(
        settings.retryRatio,
        settings.retrySlack,
        settings.retryWindowSeconds.seconds,
        time,
    )

    val hedging = HedgingPolicy(settings.secondAttemptShare)
    private val retryLog = RetryLog(registry, log, time)
    private val listOrder = TargetListOrder(time)
    private val targetListLog = TargetListLog(registry, log)

    /** Active routes; null until the first configuration is received. */
    var routes: RouteIndex? = null
        private set

    /** Revision of the active routing. It never decreases. */
    var revision = 0L
        private set

    /** Times of the graceful shutdown; null unless one is in progress. */
    var shutdown: ShutdownSchedule? = null

    /** Whether the forwarder shuts down gracefully; responses then close their connections. */
    val isDraining: Boolean get() = shutdown != null

    /** Called when a target has crashed. */
    var onCrash: () -> Unit = {}

    /** Number of requests in progress. */
    var activeExchanges = 0

    private val startedAt = time.markNow()
    private var isStreamReportScheduled = false
    private var isStartScheduled = false
    private val waitingExchanges = LinkedHashSet<Exchange>()

    /** Starts [exchange] once routing and targets are known, unless it is removed before. */
    fun addWaiting(exchange: Exchange) {
        waitingExchanges += exchange
    }

    /** Removes [exchange] from the requests that wait for routing and targets. */
    fun removeWaiting(exchange: Exchange) {
        waitingExchanges -= exchange
    }

    /**
     * Starts the waiting requests in the order of their arrival, a few at a time. In between, the
     * loop reads which callers have closed their connections meanwhile. A request leaves the queue
     * when it starts or ends, so it keeps its place if the targets are lost before its turn.
     */
    private fun startWaiting() {
        if (!isServing || waitingExchanges.isEmpty() || isStartScheduled) return
        isStartScheduled = true
        loop.schedule(::startNext, START_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private fun startNext() {
        isStartScheduled = false
        if (!isServing) return
        val next = waitingExchanges.take(STARTS_AT_ONCE)
        next.forEach { exchange -> exchange.guard { exchange.start() } }
        startWaiting()
    }

    /** Whether routes and targets are known, so that requests can be forwarded. */
    val isServing: Boolean get() = routes != null && selector.hasTargets

    /** Whether routing has been missing for so long that requests should not wait for it. */
    val isRoutingOverdue: Boolean
        get() = routes == null && startedAt.elapsedNow() > ROUTING_LIMIT

    /** Applies [update] unless the active routing has the same or a newer revision. */
    fun applyRouting(update: RoutingUpdate) {
        if (update.revision <= revision) return
        val configuration = update.configuration ?: return
        revision = update.revision
        if (routes?.configuration != configuration) routes = RouteIndex(configuration)
        selector.updateRouting(configuration.services, update.drained, update.rollouts)
        evidence.updateRollouts(update.rollouts)
        rolloutLog.updateRollouts(update.rollouts)
        LOG.info(
            "forwarder: event=routing revision={} version={} routes={} drained={}",
            revision,
            configuration.version,
            configuration.routes.size,
            update.drained,
        )
        startWaiting()
    }

    /** Applies [change] if based on the active revision; otherwise a full update must follow. */
    fun applyRoutingChange(change: RoutingChange) {
        val base = routes?.configuration ?: return
        if (change.base != revision) return
        val next = change.difference?.applyTo(base) ?: base
        applyRouting(RoutingUpdate(change.revision, next, change.drained, change.rollouts))
    }

    /**
     * Replaces the targets by those of [list], which the controller of [clock] sent, unless a newer
     * list is in use, and updates the registered versions, which have an order of their own.
     */
    fun updateTargets(list: TargetList, clock: ControllerClock) {
        origins.updateVersions(list.versions)
        reportStreams()
        val placement = listOrder.place(list, clock)
        targetListLog.record(list.targets, clock.controller, placement)
        if (placement is ListPlacement.Newer) updateTargets(list.targets)
    }

    private fun updateTargets(targets: List<DiscoveredTarget>) {
        selector.updateTargets(targets)
        val names = targets.mapTo(HashSet()) { it.name }
        pool.prune(names)
        stalls.prune(names)
        startWaiting()
    }

    /** Records that [origin] wrote the first event of [stream], and tells the controllers. */
    fun recordStream(stream: Fingerprint, origin: ServiceVersion, lifetime: Duration) {
        origins.record(stream, origin, lifetime)
        reportStreams()
    }

    /** Records that a message of a controller has arrived. */
    fun recordControllerMessage() = rollouts.recordContact()

    /** Reports streams and evidence again to a leader that may not know them. */
    fun onLeaderFound() {
        evidence.reportAgain()
        origins.reportAgain()
        reportStreams()
    }

    private fun reportStreams() {
        if (isStreamReportScheduled || !origins.hasUnreported) return
        isStreamReportScheduled = true
        loop.schedule(::sendStreams, STREAM_REPORT_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private fun sendStreams() {
        isStreamReportScheduled = false
        controllers.sendToLeader(StreamsBegun(origins.takeUnreported()))
        reportStreams()
    }

    /** Updates the load that the other forwarders report. */
    fun updateFleetLoad(load: FleetLoad) = selector.updateFleetLoad(load)

    /** Takes one retry at [service] if the limit that all forwarders share allows it. */
    fun tryRetry(service: ServiceName): Boolean {
        val forwarders = selector.reportedForwarders
        val isAllowed = retryLimiter.tryTake(service, forwarders)
        retryLog.record(service, isAllowed, forwarders)
        return isAllowed
    }

    /** Logs the retries and requests of rollouts since the last call, if enough time has passed. */
    fun logCounts() {
        retryLog.writeIfDue()
        rolloutLog.writeIfDue(rollouts.isRunning && rollouts.isContactLost)
    }

    /** Logs the shortages of room that began or ended since the last call. */
    fun logShortages() = selector.admission.takeChanges().forEach(log::shortageChanged)

    /** Load of this forwarder, and what it sent and learned, to be reported to the others. */
    fun currentLoad() = EntryLoad(
        selector.ownUsage(),
        selector.takeSentPrompts(),
        selector.takeChangedRates(),
        selector.ownDemand(),
        revision,
        evidence.takeChanged(),
        pressure = selector.admission.report(),
    )

    private companion object {
        /** Collects the streams of a burst; those of the last instant are lost with the process. */
        const val STREAM_REPORT_DELAY_MILLISECONDS = 10L

        const val STARTS_AT_ONCE = 8
        const val START_INTERVAL_MILLISECONDS = 1L

        /** Controllers that start with the forwarder have elected a leader well before. */
        val ROUTING_LIMIT = 5.seconds
        val LOG = LoggerFactory.getLogger(ForwardingNode::class.java)
    }
}
