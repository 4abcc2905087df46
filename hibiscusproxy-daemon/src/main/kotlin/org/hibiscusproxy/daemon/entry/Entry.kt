package org.hibiscusproxy.daemon.entry

import com.github.michaelbull.result.getOrElse
import io.javalin.Javalin
import io.javalin.config.JavalinConfig
import io.javalin.http.HandlerType
import io.micrometer.core.instrument.Gauge
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.hibiscusproxy.daemon.Role
import org.hibiscusproxy.daemon.RoleContext
import org.hibiscusproxy.daemon.openListener
import org.hibiscusproxy.daemon.settings.EntrySettings
import org.hibiscusproxy.daemon.settings.Settings
import org.hibiscusproxy.daemon.transport.ControllerLink
import org.hibiscusproxy.daemon.transport.KtorPeerTransport
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.placement.LoadTable
import org.hibiscusproxy.placement.PlacementPolicies
import org.hibiscusproxy.placement.PlacementPolicy
import org.hibiscusproxy.placement.ProbeBudget
import org.hibiscusproxy.protocol.ConfigurationRequest
import org.hibiscusproxy.protocol.ConfigurationUpdate
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.retry.RetryBudget
import org.hibiscusproxy.retry.RetryPolicy
import org.hibiscusproxy.timeline.FleetEvent
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Accepts callers' requests over HTTP and relays them to targets through their sidecars. It is
 * ready once it has received the fleet's objects.
 */
class Entry private constructor(
    private val settings: EntrySettings,
    processSettings: Settings,
    private val context: RoleContext,
    placement: PlacementPolicy,
) : Role {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val transport = KtorPeerTransport(
        Hello(processSettings.name, processSettings.dataCenter, context.incarnation),
        context.key,
        context.registry,
    )
    private val meters = EntryMeters(context.registry)
    private val loads = LoadTable(TimeSource.Monotonic)
    private val view =
        FleetView(processSettings.dataCenter, transport, loads, scope, meters.dropped)
    private val link = ControllerLink(
        "entry",
        transport,
        processSettings.controllers,
        onConnected = { it.send(ConfigurationRequest(view.version)) },
        onMessage = { message -> if (message is ConfigurationUpdate) updateFleetState(message) },
    )
    private val budget = RetryBudget(settings.retryBudget)
    private val handler = RequestHandler(
        processSettings.name,
        context,
        ExecutionContext(
            view,
            placement,
            loads,
            budget,
            RetryPolicy(budget, Random(context.incarnation.value), settings.maximumAttempts),
            ClaimClient(link, scope),
            ProbeBudget(),
            context.events,
            meters,
        ),
        settings.maximumBodyBytes,
        scope,
    )
    private val isDraining = AtomicBoolean()
    private var server: Javalin? = null

    override val isReady: Boolean get() = view.current != null && !isDraining.get()

    /** Address of the HTTP server; known after [start]. */
    val address: NetworkAddress get() = settings.listen.copy(
        port = checkNotNull(server) {
            "not started"
        }.port(),
    )

    override suspend fun start() {
        Gauge.builder("hibiscus.entry.in-progress") { handler.inProgress }
            .description("Requests in progress")
            .register(context.registry)
        openListener("entry", settings.listen) {
            withContext(Dispatchers.IO) { startServer() }
        }
        link.start(scope)
        LOG.info("entry: listening at {}", address)
    }

    private fun startServer() {
        val created = Javalin.create(::configureServer)
        try {
            server = created.start()
        } catch (failure: Exception) {
            created.stop()
            throw failure
        }
    }

    /** Accepts new requests for a short time, until load balancers see the entry as not ready. */
    override suspend fun drain(timeout: Duration): Int {
        isDraining.set(true)
        LOG.info("entry: draining, {} requests in progress", handler.inProgress)
        context.events.record(FleetEvent.ProcessStopping(handler.inProgress))
        val end = TimeSource.Monotonic.markNow() + timeout
        delay(minOf(settings.unreadyMilliseconds.milliseconds, timeout / 2))
        handler.rejectsRequests = true
        withTimeoutOrNull(-end.elapsedNow()) {
            while (handler.inProgress > 0) delay(DRAIN_POLL_INTERVAL)
        }
        val aborted = handler.inProgress
        if (aborted > 0) {
            LOG.warn("entry: {} requests aborted after drain timeout of {}", aborted, timeout)
        }
        return aborted
    }

    override fun close() {
        server?.stop()
        link.close()
        view.close()
        scope.cancel()
        transport.close()
    }

    private fun updateFleetState(message: ConfigurationUpdate) {
        if (!view.update(message.state)) return
        LOG.info("entry: using version {} of the fleet's objects", message.state.version)
        context.events.record(FleetEvent.VersionEffective(message.state.version))
    }

    private fun configureServer(config: JavalinConfig) {
        config.startup.showJavalinBanner = false
        config.jetty.threadPool = QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS)
        config.jetty.addConnector { server, http ->
            http.sendServerVersion = false
            ServerConnector(server, 1, SELECTORS, HttpConnectionFactory(http)).apply {
                host = settings.listen.host
                port = settings.listen.port
                idleTimeout = IDLE_TIMEOUT.inWholeMilliseconds
            }
        }
        config.routes.post("/v1/chat/completions") { httpContext ->
            handler.handle(httpContext) { readChat(it) }
        }
        for (method in METHODS) {
            for (path in listOf("/services/{service}", "/services/{service}/<path>")) {
                config.routes.addHttpHandler(method, path) { httpContext ->
                    handler.handle(httpContext) { raw ->
                        val service = httpContext.pathParam("service")
                        readPlain(raw, service, raw.path.afterSegments(SERVICE_SEGMENTS))
                    }
                }
            }
        }
    }

    /** The path after its first [count] segments, without decoding. */
    private fun String.afterSegments(count: Int): String {
        var from = 0
        repeat(count) {
            from = indexOf('/', from + 1)
            if (from < 0) return "/"
        }
        return substring(from)
    }

    companion object {
        private const val MAXIMUM_THREADS = 24
        private const val MINIMUM_THREADS = 4
        private const val SELECTORS = 2
        private const val SERVICE_SEGMENTS = 2
        private val IDLE_TIMEOUT = 300.seconds
        private val DRAIN_POLL_INTERVAL = 20.milliseconds
        private val METHODS = listOf(
            HandlerType.GET,
            HandlerType.POST,
            HandlerType.PUT,
            HandlerType.PATCH,
            HandlerType.DELETE,
        )
        private val LOG: Logger = LoggerFactory.getLogger(Entry::class.java)

        /**
         * Creates the entry of a process with [settings], which must have an entry section.
         *
         * @throws IllegalArgumentException if the settings name an unknown placement policy
         */
        fun of(settings: Settings, context: RoleContext): Entry {
            val section =
                requireNotNull(settings.entry) { "settings have no entry section: $settings" }
            val placement = PlacementPolicies.byName(section.placement).getOrElse { failure ->
                throw IllegalArgumentException(failure.toString())
            }
            return Entry(section, settings, context, placement)
        }
    }
}
