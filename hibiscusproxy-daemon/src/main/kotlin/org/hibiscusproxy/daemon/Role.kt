package org.hibiscusproxy.daemon

import io.micrometer.core.instrument.MeterRegistry
import kotlin.time.Duration
import org.hibiscusproxy.daemon.settings.Settings
import org.hibiscusproxy.daemon.transport.FleetKey
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.timeline.EventRecorder

/** One role that a process plays. */
interface Role : AutoCloseable {
    /** Whether the role can take work now; decides about `/ready`. */
    val isReady: Boolean

    /** Starts listening and working. Throws an input or output error when it cannot listen. */
    suspend fun start()

    /** Takes what may change of the settings while the role runs; nothing by default. */
    fun reload(settings: Settings) = Unit

    /**
     * Takes no new work and finishes what is in progress.
     *
     * @return requests that were still in progress when [timeout] ran out
     */
    suspend fun drain(timeout: Duration): Int

    /** Ends everything at once. */
    override fun close()
}

/**
 * What a process hands to each of its roles.
 *
 * @property metricsText the page of metrics, for roles that serve it themselves
 */
class RoleContext(
    val key: FleetKey,
    val incarnation: Incarnation,
    val registry: MeterRegistry,
    val metricsText: () -> String,
    val events: EventRecorder,
)
