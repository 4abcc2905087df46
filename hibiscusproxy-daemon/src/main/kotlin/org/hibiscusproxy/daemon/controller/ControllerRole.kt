package org.hibiscusproxy.daemon.controller

import com.github.michaelbull.result.getOrElse
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.hibiscusproxy.consensus.StorageFailure
import org.hibiscusproxy.daemon.Role
import org.hibiscusproxy.daemon.RoleContext
import org.hibiscusproxy.daemon.settings.Settings
import org.hibiscusproxy.daemon.transport.KtorPeerTransport
import org.hibiscusproxy.daemon.transport.toTransportSettings
import org.hibiscusproxy.protocol.Hello

/** Runs a [Controller] as a role of a process. */
class ControllerRole(
    private val settings: Settings,
    private val context: RoleContext,
    private val ports: ControllerPorts,
    private val onFailure: (Throwable) -> Unit,
) : Role {
    private val section =
        requireNotNull(settings.controller) { "settings have no controller section: $settings" }
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val transport = KtorPeerTransport(
        Hello(settings.name, settings.dataCenter, context.incarnation),
        context.key,
        context.registry,
        settings.toTransportSettings(),
    )
    private var controller: Controller? = null

    override val isReady: Boolean get() = controller != null

    /** @throws StorageOpenException when the data folder is damaged or in use */
    override suspend fun start() {
        val dependencies = ControllerDependencies(
            settings.name,
            section,
            settings.controllers,
            transport,
            context.key,
            context.events,
            ports,
            settings.controllerPeerPort,
        )
        val started = Controller.start(dependencies).getOrElse { throw StorageOpenException(it) }
        controller = started
        Gauge.builder("hibiscus.controller.leaderless.seconds") {
            started.leaderlessTime.toDouble(DurationUnit.SECONDS)
        }.register(context.registry)
        Gauge.builder("hibiscus.controller.missing.voters") { started.missingVoters.toDouble() }
            .register(context.registry)
        Gauge.builder("hibiscus.controller.rollouts.running") {
            started.runningRollouts.toDouble()
        }.register(context.registry)
        endedCounter("completed") { started.completedRollouts }
        endedCounter("rolled-back") { started.rolledBackRollouts }
        scope.launch { onFailure(started.failure.await()) }
    }

    private fun endedCounter(outcome: String, count: () -> Long) {
        FunctionCounter.builder("hibiscus.controller.rollouts.ended", this) { count().toDouble() }
            .tag("outcome", outcome)
            .register(context.registry)
    }

    override fun reload(settings: Settings) {
        controller?.addContacts(settings.controllers.map { it.name })
    }

    /** Returns 0 at once: a controller has no requests in progress, and the others take over. */
    override suspend fun drain(timeout: Duration): Int = 0

    override fun close() {
        scope.cancel()
        controller?.close()
        transport.close()
    }

    /** Thrown by [start] if the data folder cannot be opened. */
    class StorageOpenException(val failure: StorageFailure) : Exception("$failure")
}
