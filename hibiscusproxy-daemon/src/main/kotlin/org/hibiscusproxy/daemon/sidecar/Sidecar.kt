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
 * The only path to one target. Takes attempts from entries, lets the admission controller decide,
 * calls the target and relays its answer. Its state is soft: after a restart it holds no lease
 * and refuses attempts that were meant for its earlier incarnation.
 */
class Sidecar private constructor(
    private val settings: SidecarSettings,
    fleet: Settings,
    private val context: RoleContext,
    admission: AdmissionController,
) : Role {
    private val target = settings.target
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val transport = KtorPeerTransport(
        Hello(fleet.name, fleet.dataCenter, context.incarnation, target),
        context.key,
        context.registry,
    )
    private val configuration = TargetConfiguration(target)
    private val pointers = PlacementPointers(target)
    private val cached = CacheIndex()
    private val isDraining = AtomicBoolean()
    private val wasOverloaded = AtomicBoolean()
    private val table = AttemptTable(admission, TableActions())
    private val calls = TargetCalls(target, settings.targetUrl, table::confirm, ::firstByte)
    private val loads = LoadPoller(calls)
    private val link = ControllerLink(
        "sidecar",
        transport,
        fleet.controllers,
        connected = { it.send(ConfigurationRequest(configuration.version)) },
        received = ::received,
    )
    private val lease =
        LeaseKeeper(target, context.incarnation, link, table, ::presentLoad, context.events)
    private val orders = OrderDesk(
        context.incarnation,
        OrderCall(settings.targetUrl, ORDER_TIME, lease::held, isDraining::get),
    ) { link.tell(it) }
    private val endings =
        AttemptEndings(target, scope, table, calls, cached, link, context.events)
    private val duplicates = Counter.builder("hibiscus.sidecar.duplicates")
        .description("Dispatches dropped because their attempt number was used before")
        .register(context.registry)
    private var listener: PeerListener? = null

    override val isReady: Boolean get() = lease.isHeld && !isDraining.get()

    /** Where entries reach the sidecar; known after [start]. */
    val address: NetworkAddress
        get() = checkNotNull(listener) { "sidecar of $target was not started" }.address

    override suspend fun start() {
        Gauge.builder("hibiscus.sidecar.running") { table.report().running }
            .description("Requests admitted and not finished")
            .register(context.registry)
        Gauge.builder("hibiscus.sidecar.queued") { table.report().queued }
            .description("Requests that wait")
            .register(context.registry)
        listener = transport.listen(settings.listen, ::serve)
        link.start(scope)
        lease.start(scope)
        scope.launch { tick() }
        scope.launch { pollLoad() }
        LOG.info("sidecar: beside {} at {}", target, address)
    }

    override suspend fun drain(timeout: Duration): Int {
        isDraining.set(true)
        LOG.info("sidecar: draining, {} requests in progress", table.size)
        context.events.record(FleetEvent.ProcessStopping(table.size))
        table.update { shutDown() }
        withTimeoutOrNull(timeout) { while (table.size > 0) delay(DRAIN_CHECK) }
        val cutOff = table.runningAttempts
        if (cutOff.isNotEmpty()) {
            LOG.warn("sidecar: {} requests cut off after {}", cutOff.size, timeout)
            cutOff.forEach { it.stop(BrokenReason.SHUTDOWN) }
            withTimeoutOrNull(CUT_OFF_TIME) { while (table.size > 0) delay(DRAIN_CHECK) }
        }
        delay(LAST_SEND_TIME)
        return cutOff.size
    }

    override fun close() {
        listener?.close()
        link.close()
        scope.cancel()
        calls.close()
        transport.close()
    }

    private suspend fun serve(connection: PeerConnection) {
        LOG.info("sidecar: entry {} connected", connection.remote.process)
        try {
            for (message in connection.incoming) take(message, connection)
        } finally {
            table.cancelAll(connection)
            LOG.info("sidecar: entry {} disconnected", connection.remote.process)
        }
    }

    private fun take(message: PeerMessage, connection: PeerConnection) {
        when (message) {
            is Dispatch -> dispatched(message, connection)

            is ChatPlaced -> pointers.record(PrefixKey(message.prefixKey), message.target)

            is Cancel -> table.cancel(message.attempt, connection)
            else -> LOG.warn("sidecar: unexpected {}", message.javaClass.simpleName)
        }
    }

    private fun dispatched(dispatch: Dispatch, connection: PeerConnection) {
        val key = PrefixKey(dispatch.prefixKey)
        val isElsewhere = dispatch.followsPointer && pointers.targetOf(key) != null
        val isUnwanted =
            dispatch.onlyIfCached && cached.stateOf(key) != CacheState.CACHED
        when {
            isElsewhere -> table.decline(dispatch, NotRunReason.CACHED_ELSEWHERE, connection)
            isUnwanted -> table.decline(dispatch, NotRunReason.NOT_CACHED, connection)
            else -> table.offer(dispatch, connection)
        }
    }

    private suspend fun received(message: ControlMessage) {
        when (message) {
            is ConfigurationUpdate -> configure(message.state)

            is ConfigurationCurrent -> confirm(message.version)

            is LeaseRenewNow -> lease.renewEarly()

            is EngineOrder -> orders.take(message, scope)

            is CrashList -> table.update {
                val duration = message.remainingMilliseconds.milliseconds
                refuseFingerprints(message.fingerprints.toSet(), duration)
                emptyList()
            }

            else -> Unit
        }
    }

    private suspend fun configure(state: FleetState) {
        if (!configuration.take(state)) return
        table.update {
            configure(state)
            advance()
        }
        lease.configured(state.version)
    }

    private suspend fun confirm(version: Long) {
        if (configuration.confirm(version)) lease.configured(version)
    }

    private suspend fun tick() {
        repeatGuarded("sidecar") {
            delay(TICK)
            lease.checkExpiry()
            table.update { advance() }
            if (isHeldBackByBound()) lease.renewEarly()
        }
    }

    /**
     * Whether requests waited or were refused although the target itself bears more. The pool's
     * load that came with the lease is up to a second old, and a bound computed from it would let
     * the load of an idle pool grow by no more than its multiple each second.
     */
    private fun isHeldBackByBound(): Boolean {
        val report = table.report()
        val isHeldBack = wasOverloaded.getAndSet(false) || report.queued > 0
        return isHeldBack && report.limit < configuration.capacity
    }

    private suspend fun pollLoad() {
        repeatGuarded("sidecar") {
            if (configuration.hasLoadReport) {
                loads.poll()?.let { report ->
                    table.update {
                        targetReported(report)
                        emptyList()
                    }
                }
            }
            delay(LOAD_INTERVAL)
        }
    }

    private fun firstByte(attempt: SidecarAttempt) = table.update {
        firstByte(attempt.attempt)
        emptyList()
    }

    private fun presentLoad(): LoadReport = endings.presentLoad()

    private inner class TableActions : AttemptTable.Actions {
        override fun run(attempt: SidecarAttempt) {
            context.events.record(FleetEvent.AttemptStarted(attempt.attempt, target))
            if (attempt.dispatch.prefixKey != 0L) {
                cached.recordRun(PrefixKey(attempt.dispatch.prefixKey))
            }
            calls.start(attempt) { end -> endings.ended(attempt, end) }
        }

        override fun refuse(attempt: SidecarAttempt, reason: NotRunReason, retryAfter: Duration) {
            if (reason == NotRunReason.OVERLOADED) wasOverloaded.set(true)
            context.events.record(FleetEvent.AttemptNotRun(attempt.attempt, target, reason))
            val milliseconds = retryAfter.inWholeMilliseconds
            val servedBy = pointers.targetOf(PrefixKey(attempt.dispatch.prefixKey))
                .takeIf { reason == NotRunReason.CACHED_ELSEWHERE }
            endings.answer(
                attempt,
                NotRun(attempt.attempt, reason, presentLoad(), milliseconds, servedBy),
            )
        }

        override fun droppedDuplicate(attempt: Attempt) {
            duplicates.increment()
            LOG.warn("sidecar: dropped another dispatch of attempt {}", attempt)
        }
    }

    companion object {
        private val TICK = 100.milliseconds
        private val LOAD_INTERVAL = 1.seconds
        private val DRAIN_CHECK = 20.milliseconds
        private val CUT_OFF_TIME = 1.seconds
        private val LAST_SEND_TIME = 50.milliseconds
        private val ORDER_TIME = 8.seconds
        private val LOG: Logger = LoggerFactory.getLogger(Sidecar::class.java)

        /** Sidecar of a process with [settings], which must have a sidecar section. */
        fun of(settings: Settings, context: RoleContext): Sidecar {
            val section = requireNotNull(settings.sidecar) { "no sidecar section: $settings" }
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
