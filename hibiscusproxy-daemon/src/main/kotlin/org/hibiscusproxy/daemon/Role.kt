package org.hibiscusproxy.daemon

import io.micrometer.core.instrument.MeterRegistry
import kotlin.time.Duration
import org.hibiscusproxy.daemon.settings.Settings
import org.hibiscusproxy.daemon.transport.FleetKey
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.timeline.EventRecorder

/** A role that a process runs, such as entry or sidecar. */
interface Role : AutoCloseable {
    /** Whether the role accepts work; reported by `/ready`. */
    val isReady: Boolean

    /** Starts the role. Throws an I/O exception when it cannot open a listener. */
    suspend fun start()

    /** Applies the settings that can change at run time; none by default. */
    fun reload(settings: Settings) = Unit

    /**
     * Stops accepting work and finishes requests in progress.
     *
     * @return number of requests still in progress when [timeout] expired
     */
    suspend fun drain(timeout: Duration): Int

    /** Stops immediately and releases all resources. */
    override fun close()
}

/**
 * Dependencies that a process passes to each of its roles.
 *
 * @property metricsText renders the metrics, for roles that serve them on their own listener
 */
class RoleContext(
    val key: FleetKey,
    val incarnation: Incarnation,
    val registry: MeterRegistry,
    val metricsText: () -> String,
    val events: EventRecorder,
)
