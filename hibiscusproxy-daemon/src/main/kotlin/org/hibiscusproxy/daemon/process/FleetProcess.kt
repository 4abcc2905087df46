package org.hibiscusproxy.daemon.process

import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import org.hibiscusproxy.daemon.Role
import org.hibiscusproxy.daemon.administration.AdministrationServer
import org.hibiscusproxy.daemon.settings.Settings
import org.hibiscusproxy.timeline.EventRecorder
import org.hibiscusproxy.timeline.FleetEvent
import org.slf4j.LoggerFactory

/**
 * A process of the fleet: its roles by name and its administration server, started and stopped
 * together.
 */
class FleetProcess(
    private val roles: Map<String, Role>,
    private val administration: AdministrationServer?,
    private val events: EventRecorder,
) : AutoCloseable {
    private val started = CopyOnWriteArrayList<Role>()
    private val stopping = AtomicBoolean()
    private val closed = AtomicBoolean()

    /** Whether all roles accept new work and no shutdown is in progress. */
    val isReady: Boolean get() = !stopping.get() && roles.values.all { it.isReady }

    /**
     * Starts all roles and then the administration server, which is started last because no other
     * process depends on it.
     */
    suspend fun start() {
        for (role in roles.values) {
            currentCoroutineContext().ensureActive()
            role.start()
            started += role
        }
        currentCoroutineContext().ensureActive()
        administration?.start()
        events.record(FleetEvent.ProcessStarted(roles.keys.toList()))
        logger.info("process: Started as {}.", roles.keys.joinToString())
    }

    /** Applies changed [settings] to all roles. */
    fun reload(settings: Settings) {
        logger.info("process: Settings reloaded, controllers: {}.", settings.controllers)
        roles.values.forEach { it.reload(settings) }
    }

    /**
     * Becomes unready, accepts no new work and waits until requests in progress have finished.
     * Roles whose start did not end are closed at once.
     *
     * @return number of requests aborted because [timeout] expired, and of failures of roles
     */
    suspend fun shutDown(timeout: Duration): Int {
        if (!stopping.compareAndSet(false, true)) return 0
        logger.info("process: Shutting down.")
        val drained = coroutineScope {
            started.map { role -> async { drain(role, timeout) } }.awaitAll().sum()
        }
        val aborted = drained + closeAll()
        if (aborted == 0) {
            logger.info("process: Stopped. No requests were aborted.")
        } else {
            logger.warn("process: Stopped. {} requests were aborted after {}.", aborted, timeout)
        }
        return aborted
    }

    /** A failure counts as an aborted request and does not end the drains of other roles. */
    private suspend fun drain(role: Role, timeout: Duration): Int = try {
        role.drain(timeout)
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failure: Throwable) {
        logger.error("process: A role did not drain.", failure)
        1
    }

    override fun close() {
        closeAll()
    }

    /** Closes all roles and returns how many failed. */
    private fun closeAll(): Int {
        if (!closed.compareAndSet(false, true)) return 0
        return (roles.values + listOfNotNull(administration)).count { part ->
            try {
                part.close()
                false
            } catch (failure: Throwable) {
                logger.error("process: A role did not close.", failure)
                true
            }
        }
    }

    private companion object {
        val logger = LoggerFactory.getLogger(FleetProcess::class.java)
    }
}
