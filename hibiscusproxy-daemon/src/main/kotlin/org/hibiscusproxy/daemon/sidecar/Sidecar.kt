package org.hibiscusproxy.daemon.sidecar

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.hibiscusproxy.admission.AdmissionController
import org.hibiscusproxy.admission.AttemptResult
import org.hibiscusproxy.admission.TargetAdmission
import org.hibiscusproxy.daemon.Role
import org.hibiscusproxy.daemon.RoleContext
import org.hibiscusproxy.daemon.repeatGuarded
import org.hibiscusproxy.daemon.settings.Settings
import org.hibiscusproxy.daemon.settings.SidecarSettings
import org.hibiscusproxy.daemon.transport.ControllerLink
import org.hibiscusproxy.daemon.transport.KtorPeerTransport
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.daemon.transport.PeerListener
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ServiceKind
import org.hibiscusproxy.placement.CacheIndex
import org.hibiscusproxy.placement.CacheState
import org.hibiscusproxy.placement.PlacementPointers
import org.hibiscusproxy.placement.PrefixKey
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.BrokenReason
import org.hibiscusproxy.protocol.Cancel
import org.hibiscusproxy.protocol.ChatPlaced
import org.hibiscusproxy.protocol.ConfigurationCurrent
import org.hibiscusproxy.protocol.ConfigurationRequest
import org.hibiscusproxy.protocol.ConfigurationUpdate
import org.hibiscusproxy.protocol.ControlMessage
import org.hibiscusproxy.protocol.CrashList
import org.hibiscusproxy.protocol.CrashReport
import org.hibiscusproxy.protocol.DataMessage
import org.hibiscusproxy.protocol.Dispatch
import org.hibiscusproxy.protocol.EngineOrder
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.LeaseRenewNow
import org.hibiscusproxy.protocol.LoadReport
import org.hibiscusproxy.protocol.NotRun
import org.hibiscusproxy.protocol.NotRunReason
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.ResponseBroken
import org.hibiscusproxy.protocol.ResponseEnd
import org.hibiscusproxy.timeline.FleetEvent
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * The only path to one target. Receives attempts from entries, applies admission control, calls the
 * target and relays its answer. Its state is not persisted: after a restart it holds no lease and
 * refuses attempts that were dispatched to its earlier incarnation.
 */
class Sidecar private constructor(
    private val settings: SidecarSettings,
    processSettings: Settings,
    private val context: RoleContext,
    admission: AdmissionController,
) : Role {
    private val target = settings.target
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val transport = KtorPeerTransport(
        Hello(processSettings.name, processSettings.dataCenter, context.incarnation, target),
        context.key,
        context.registry,
    )
    private val configuration = TargetConfiguration(target)
    private val pointers = PlacementPointers(target)
    private val cacheIndex = CacheIndex()
    private val isDraining = AtomicBoolean()
    private val wasOverloaded = AtomicBoolean()
    private val table = AttemptTable(admission, TableActions())
    private val client = TargetClient(target, settings.targetUrl, table::confirm, ::firstByte)
    private val loadPoller = LoadPoller(client)
    private val link = ControllerLink(
        "sidecar",
        transport,
        processSettings.controllers,
        onConnected = { it.send(ConfigurationRequest(configuration.version)) },
        onMessage = ::handleControlMessage,
    )
    private val lease =
        LeaseRenewer(target, context.incarnation, link, table, ::currentLoad, context.events)
    private val orders = OrderProcessor(
        context.incarnation,
        OrderClient(settings.targetUrl, ORDER_TIMEOUT, lease::held, isDraining::get),
    ) { link.send(it) }
    private val completions =
        AttemptCompletionHandler(target, scope, table, client, cacheIndex, link, context.events)
    private val duplicates = Counter.builder("hibiscus.sidecar.duplicates")
        .description("Dispatches dropped because their attempt number was used before")
        .register(context.registry)
    private var listener: PeerListener? = null

    override val isReady: Boolean get() = lease.isHeld && !isDraining.get()

    /** Address on which entries connect; known after [start]. */
    val address: NetworkAddress
        get() = checkNotNull(listener) { "sidecar of $target is not started" }.address

    override suspend fun start() {
        Gauge.builder("hibiscus.sidecar.running") { table.report().running }
            .description("Requests admitted and not finished")
            .register(context.registry)
        Gauge.builder("hibiscus.sidecar.queued") { table.report().queued }
            .description("Requests that wait")
            .register(context.registry)
        listener = transport.listen(settings.listen, ::serveConnection)
        link.start(scope)
        lease.start(scope)
        scope.launch { runPeriodicChecks() }
        scope.launch { pollLoad() }
        LOG.info("sidecar: listening for target {} at {}", target, address)
    }

    override suspend fun drain(timeout: Duration): Int {
        isDraining.set(true)
        LOG.info("sidecar: draining, {} requests in progress", table.size)
        context.events.record(FleetEvent.ProcessStopping(table.size))
        table.update { shutDown() }
        withTimeoutOrNull(timeout) { while (table.size > 0) delay(DRAIN_POLL_INTERVAL) }
        val aborted = table.runningAttempts
        if (aborted.isNotEmpty()) {
            LOG.warn(
                "sidecar: {} requests aborted after drain timeout of {}",
                aborted.size,
                timeout,
            )
            aborted.forEach { it.stop(BrokenReason.SHUTDOWN) }
            withTimeoutOrNull(ABORT_TIMEOUT) { while (table.size > 0) delay(DRAIN_POLL_INTERVAL) }
        }
        delay(FINAL_SEND_DELAY)
        return aborted.size
    }

    override fun close() {
        listener?.close()
        link.close()
        scope.cancel()
        client.close()
        transport.close()
    }

    private suspend fun serveConnection(connection: PeerConnection) {
        LOG.info("sidecar: entry {} connected", connection.remote.process)
        try {
            for (message in connection.incoming) handle(message, connection)
        } finally {
            table.cancelAll(connection)
            LOG.info("sidecar: entry {} disconnected", connection.remote.process)
        }
    }

    private fun handle(message: PeerMessage, connection: PeerConnection) {
        when (message) {
            is Dispatch -> handleDispatch(message, connection)

            is ChatPlaced -> pointers.record(PrefixKey(message.prefixKey), message.target)

            is Cancel -> table.cancel(message.attempt, connection)
            else -> LOG.warn("sidecar: ignored unexpected message {}", message.javaClass.simpleName)
        }
    }

    private fun handleDispatch(dispatch: Dispatch, connection: PeerConnection) {
        val key = PrefixKey(dispatch.prefixKey)
        val isCachedElsewhere = dispatch.followsPointer && pointers.targetOf(key) != null
        val isNotCached =
            dispatch.onlyIfCached && cacheIndex.stateOf(key) != CacheState.CACHED
        when {
            isCachedElsewhere -> table.decline(dispatch, NotRunReason.CACHED_ELSEWHERE, connection)
            isNotCached -> table.decline(dispatch, NotRunReason.NOT_CACHED, connection)
            else -> table.offer(dispatch, connection)
        }
    }

    private suspend fun handleControlMessage(message: ControlMessage) {
        when (message) {
            is ConfigurationUpdate -> configure(message.state)

            is ConfigurationCurrent -> confirm(message.version)

            is LeaseRenewNow -> lease.requestRenewal()

            is EngineOrder -> orders.process(message, scope)

            is CrashList -> table.update {
                val duration = message.remainingMilliseconds.milliseconds
                refuseFingerprints(message.fingerprints.toSet(), duration)
                emptyList()
            }

            else -> Unit
        }
    }

    private suspend fun configure(state: FleetState) {
        if (!configuration.update(state)) return
        table.update {
            configure(state)
            advance()
        }
        lease.stateApplied(state.version)
    }

    private suspend fun confirm(version: Long) {
        if (configuration.confirm(version)) lease.stateApplied(version)
    }

    private suspend fun runPeriodicChecks() {
        repeatGuarded("sidecar") {
            delay(CHECK_INTERVAL)
            lease.checkExpiry()
            table.update { advance() }
            if (isLimitedByLoadBound()) lease.requestRenewal()
        }
    }

    /**
     * Whether requests were queued or refused although the target has free capacity. The pool load
     * that came with the lease is up to a second old, and a bound computed from it would limit the
     * growth of an idle pool's load to its multiple each second.
     */
    private fun isLimitedByLoadBound(): Boolean {
        val report = table.report()
        val isLimited = wasOverloaded.getAndSet(false) || report.queued > 0
        return isLimited && report.limit < configuration.capacity
    }

    private suspend fun pollLoad() {
        repeatGuarded("sidecar") {
            if (configuration.hasLoadReport) {
                loadPoller.poll()?.let { report ->
                    table.update {
                        targetReported(report)
                        emptyList()
                    }
                }
            }
            delay(LOAD_POLL_INTERVAL)
        }
    }

    private fun firstByte(attempt: SidecarAttempt) = table.update {
        firstByte(attempt.attempt)
        emptyList()
    }

    private fun currentLoad(): LoadReport = completions.currentLoad()

    private inner class TableActions : AttemptTable.Actions {
        override fun run(attempt: SidecarAttempt) {
            context.events.record(FleetEvent.AttemptStarted(attempt.attempt, target))
            if (attempt.dispatch.prefixKey != 0L) {
                cacheIndex.recordRun(PrefixKey(attempt.dispatch.prefixKey))
            }
            client.start(attempt) { outcome -> completions.handle(attempt, outcome) }
        }

        override fun refuse(attempt: SidecarAttempt, reason: NotRunReason, retryAfter: Duration) {
            if (reason == NotRunReason.OVERLOADED) wasOverloaded.set(true)
            context.events.record(FleetEvent.AttemptNotRun(attempt.attempt, target, reason))
            val milliseconds = retryAfter.inWholeMilliseconds
            val servedBy = pointers.targetOf(PrefixKey(attempt.dispatch.prefixKey))
                .takeIf { reason == NotRunReason.CACHED_ELSEWHERE }
            completions.sendToEntry(
                attempt,
                NotRun(attempt.attempt, reason, currentLoad(), milliseconds, servedBy),
            )
        }

        override fun droppedDuplicate(attempt: Attempt) {
            duplicates.increment()
            LOG.warn("sidecar: dropped duplicate dispatch of attempt {}", attempt)
        }
    }

    companion object {
        private val CHECK_INTERVAL = 100.milliseconds
        private val LOAD_POLL_INTERVAL = 1.seconds
        private val DRAIN_POLL_INTERVAL = 20.milliseconds
        private val ABORT_TIMEOUT = 1.seconds
        private val FINAL_SEND_DELAY = 50.milliseconds
        private val ORDER_TIMEOUT = 8.seconds
        private val LOG: Logger = LoggerFactory.getLogger(Sidecar::class.java)

        /** Creates the sidecar of a process with [settings], which must have a sidecar section. */
        fun of(settings: Settings, context: RoleContext): Sidecar {
            val section =
                requireNotNull(settings.sidecar) { "settings have no sidecar section: $settings" }
            val admission = TargetAdmission(
                section.target,
                context.incarnation,
                section.maximumQueue,
                section.queueMilliseconds.milliseconds,
                TimeSource.Monotonic,
            )
            return Sidecar(section, settings, context, admission)
        }
    }
}
