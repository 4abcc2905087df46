package org.hibiscusproxy.daemon.sidecar

import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.hibiscusproxy.daemon.repeatGuarded
import org.hibiscusproxy.daemon.transport.ControllerLink
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseAcknowledgement
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.LeaseRefusal
import org.hibiscusproxy.protocol.LeaseRequest
import org.hibiscusproxy.protocol.LoadReport
import org.hibiscusproxy.timeline.EventRecorder
import org.hibiscusproxy.timeline.FleetEvent
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Renews the sidecar's lease each second and whenever a controller requests it. The duration of a
 * lease starts when its request is built, which is before the request is sent.
 *
 * The renewer's monitor guards its fields and is never held while the attempt table is called.
 */
internal class LeaseRenewer(
    private val target: TargetName,
    private val incarnation: Incarnation,
    private val link: ControllerLink,
    private val table: AttemptTable,
    private val report: () -> LoadReport,
    private val events: EventRecorder,
) {
    private val renewalRequests = Channel<Unit>(Channel.CONFLATED)
    private val requestedAt = ConcurrentHashMap<Long, ComparableTimeMark>()
    private var lease: LeaseGrant? = null
    private var leaseEnd: ComparableTimeMark? = null
    private var stateVersion = 0L
    private var acknowledgedVersion = 0L

    /** Whether a lease is currently held. */
    val isHeld: Boolean @Synchronized get() = leaseEnd?.hasNotPassedNow() == true

    /** The currently held lease, or null. */
    val held: LeaseGrant?
        @Synchronized get() = lease.takeIf { isHeld }

    /** Newest version for which both the lease and the objects are in effect. */
    private val effectiveVersion: Long
        @Synchronized get() = minOf(lease?.version ?: 0, stateVersion)

    /** Renews the lease in the background until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            repeatGuarded("sidecar") {
                val granted = renewOnce()
                val pause = if (granted) RENEWAL_INTERVAL else RETRY_INTERVAL
                withTimeoutOrNull(pause) { renewalRequests.receive() }
            }
        }
    }

    /** Renews the lease now instead of after the regular interval. */
    fun requestRenewal() {
        renewalRequests.trySend(Unit)
    }

    /** Records that the objects of [version] are in effect, and acknowledges it if it is new. */
    suspend fun stateApplied(version: Long) {
        val isNewer = synchronized(this) {
            (version > stateVersion).also { if (it) stateVersion = version }
        }
        if (isNewer) acknowledge()
    }

    /** Records the expiry of the lease; must be called periodically. */
    fun checkExpiry() {
        val expired = synchronized(this) {
            (leaseEnd?.hasPassedNow() == true).also { if (it) leaseEnd = null }
        }
        if (!expired) return
        LOG.warn("sidecar: lease of {} expired, refusing attempts until it is renewed", target)
        events.record(FleetEvent.LeaseExpired(target))
    }

    private suspend fun renewOnce(): Boolean {
        val answer = try {
            link.request(REQUEST_TIMEOUT) { number ->
                requestedAt[number] = TimeSource.Monotonic.markNow()
                LeaseRequest(number, target, incarnation, report(), effectiveVersion)
            }
        } finally {
            if (requestedAt.size > MAXIMUM_TRACKED_REQUESTS) requestedAt.clear()
        }
        when (answer) {
            is LeaseGrant -> requestedAt.remove(answer.number)?.let { accept(answer, it) }

            is LeaseRefusal -> LOG.warn(
                "sidecar: controller refused lease of {}: {}, retrying in {}",
                target,
                answer.reason,
                RETRY_INTERVAL,
            )

            else -> LOG.warn(
                "sidecar: no controller answered the lease request of {} within {}, retrying in {}",
                target,
                REQUEST_TIMEOUT,
                RETRY_INTERVAL,
            )
        }
        return answer is LeaseGrant
    }

    private suspend fun accept(grant: LeaseGrant, requested: ComparableTimeMark) {
        val isFirst = synchronized(this) {
            val isFirst = leaseEnd == null
            lease = grant
            leaseEnd = requested + grant.durationMilliseconds.milliseconds
            isFirst
        }
        table.update { renew(grant, requested) }
        if (isFirst) {
            LOG.info("sidecar: obtained lease of {} at version {}", target, grant.version)
            events.record(FleetEvent.LeaseObtained(target, grant.version, grant.state))
        }
        acknowledge()
    }

    private suspend fun acknowledge() {
        val version = synchronized(this) {
            effectiveVersion.takeIf { it > acknowledgedVersion }?.also { acknowledgedVersion = it }
        } ?: return
        events.record(FleetEvent.VersionEffective(version))
        link.send(LeaseAcknowledgement(target, incarnation, version))
    }

    private companion object {
        val RENEWAL_INTERVAL = 1.seconds
        val RETRY_INTERVAL = 250.milliseconds
        val REQUEST_TIMEOUT = 2.seconds
        const val MAXIMUM_TRACKED_REQUESTS = 32

        /** Part of each line in the JSON log format, so it stays stable across class renames. */
        const val LOGGER_NAME = "org.hibiscusproxy.daemon.sidecar.LeaseKeeper"
        val LOG: Logger = LoggerFactory.getLogger(LOGGER_NAME)
    }
}
