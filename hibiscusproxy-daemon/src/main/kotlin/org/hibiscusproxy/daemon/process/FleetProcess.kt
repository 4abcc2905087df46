package org.hibiscusproxy.daemon.process

import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.hibiscusproxy.daemon.Role
import org.hibiscusproxy.daemon.administration.AdministrationServer
import org.hibiscusproxy.daemon.settings.Settings
import org.hibiscusproxy.timeline.EventRecorder
import org.hibiscusproxy.timeline.FleetEvent
import org.slf4j.LoggerFactory

/**
 * A process of the fleet: its roles by name and its administration page, started and stopped
 * together.
 */
class FleetProcess(
    private val roles: Map<String, Role>,
    private val administration: AdministrationServer?,
    private val events: EventRecorder,
) : AutoCloseable {
    private val stopping = AtomicBoolean()
    private val closed = AtomicBoolean()

    /** Whether all roles take new work and no shutdown has begun. */
    val isReady: Boolean get() = !stopping.get() && roles.values.all { it.isReady }

    /** Starts all roles, and then the administration page, for which no other process waits. */
    suspend fun start() {
        roles.values.forEach { it.start() }
        administration?.start()
        events.record(FleetEvent.ProcessStarted(roles.keys.toList()))
        logger.info("process: Started as {}.", roles.keys.joinToString())
    }

    /** Passes changed [settings] on to all roles. */
    fun reload(settings: Settings) {
        logger.info("process: Settings changed, controllers are {}.", settings.controllers)
        roles.values.forEach { it.reload(settings) }
    }

    /**
     * Becomes unready, takes no new work and waits for what is in progress.
     *
     * @return requests that were cut off because [timeout] ran out
     */
    suspend fun shutDown(timeout: Duration): Int {
        if (!stopping.compareAndSet(false, true)) return 0
        logger.info("process: Stopping.")
        val cutOff = coroutineScope {
            roles.values.map { role -> async { role.drain(timeout) } }.awaitAll().sum()
        }
        close()
        if (cutOff == 0) {
            logger.info("process: Stopped. No request was cut off.")
        } else {
            logger.warn("process: Stopped. {} requests were cut off after {}.", cutOff, timeout)
        }
        return cutOff
    }

    override fun close() {
        if (!closed.compareAndSet(false, true)) return
        roles.values.forEach { it.close() }
        administration?.close()
    }

    private companion object {
        val logger = LoggerFactory.getLogger(FleetProcess::class.java)
    }
}
