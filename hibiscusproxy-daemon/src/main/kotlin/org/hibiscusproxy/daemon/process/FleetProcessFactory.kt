package org.hibiscusproxy.daemon.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import io.javalin.util.JavalinBindException
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.io.IOException
import java.nio.file.Path
import org.hibiscusproxy.daemon.Role
import org.hibiscusproxy.daemon.RoleContext
import org.hibiscusproxy.daemon.administration.AdministrationServer
import org.hibiscusproxy.daemon.controller.ControllerRole
import org.hibiscusproxy.daemon.entry.Entry
import org.hibiscusproxy.daemon.forwarding.Forwarder
import org.hibiscusproxy.daemon.settings.Settings
import org.hibiscusproxy.daemon.sidecar.Sidecar
import org.hibiscusproxy.daemon.timeline.FileEventRecorder
import org.hibiscusproxy.daemon.transport.FleetKey
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.timeline.EventRecorder

/**
 * Creates and starts a process with the roles that [settings] configure.
 *
 * @param onRoleFailure called when a running role fails, for example on a storage failure
 */
class FleetProcessFactory(
    private val settings: Settings,
    private val adapters: PlatformAdapters = PlatformAdapters(),
    private val onRoleFailure: (Throwable) -> Unit,
) {
    /** Creates a process and starts all of its roles, or none. */
    suspend fun start(): Result<FleetProcess, StartFailure> = create().andThen { start(it) }

    /** Creates a process. */
    fun create(): Result<FleetProcess, StartFailure> {
        val key = FleetKey.read(Path.of(settings.fleetKeyFile)).getOrElse { failure ->
            return Err(StartFailure.BadKey(failure))
        }
        val incarnation = Incarnation(System.currentTimeMillis())
        val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
        val metrics = MetricsPage(registry)
        val events = recorder(incarnation)
        val roles = try {
            roles(RoleContext(key, incarnation, registry, metrics::text, events))
        } catch (failure: IllegalArgumentException) {
            return Err(StartFailure.BadSetting(failure.message.orEmpty()))
        }
        lateinit var process: FleetProcess
        val administration = settings.administration?.let { address ->
            AdministrationServer(address, metrics) { process.isReady }
        }
        process = FleetProcess(roles, administration, events)
        return Ok(process)
    }

    /** Starts [process], which is closed on a failure, but not when the coroutine is cancelled. */
    suspend fun start(process: FleetProcess): Result<FleetProcess, StartFailure> = try {
        process.start()
        Ok(process)
    } catch (failure: IOException) {
        process.close()
        Err(StartFailure.CannotListen(failure.message.orEmpty()))
    } catch (failure: JavalinBindException) {
        process.close()
        Err(StartFailure.CannotListen(failure.message.orEmpty()))
    } catch (failure: ControllerRole.StorageOpenException) {
        process.close()
        Err(StartFailure.BadStorage(failure.failure))
    }

    private fun recorder(incarnation: Incarnation): EventRecorder {
        val file = settings.eventFile ?: return EventRecorder { }
        return FileEventRecorder(settings.name, incarnation, Path.of(file))
    }

    private fun roles(context: RoleContext): Map<String, Role> = buildMap {
        if (settings.controller != null) {
            put("controller", ControllerRole(settings, context, adapters.controller, onRoleFailure))
        }
        if (settings.sidecar != null) put("sidecar", Sidecar.of(settings, context))
        if (settings.forwarder != null) {
            val wire = requireNotNull(adapters.wire) { "a forwarder needs a platform adapter" }
            put("forwarder", Forwarder(settings, context, wire))
        }
        if (settings.entry != null) put("entry", Entry.of(settings, context))
    }
}
