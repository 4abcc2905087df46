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
 * Renews the sidecar's lease each second and whenever a controller asks for it. A lease counts
 * from when its request was built, which is before it was sent.
 *
 * The keeper's monitor guards its fields and is never held while the attempt table is called.
 */
internal class LeaseKeeper(
    private val target: TargetName,
    private val incarnation: Incarnation,
    private val link: ControllerLink,
    private val table: AttemptTable,
    private val report: () -> LoadReport,
    private val events: EventRecorder,
) {
    private val renewNow = Channel<Unit>(Channel.CONFLATED)
    private val requestedAt = ConcurrentHashMap<Long, ComparableTimeMark>()
    private var lease: LeaseGrant? = null
    private var leaseEnd: ComparableTimeMark? = null
    private var stateVersion = 0L
    private var acknowledgedVersion = 0L

    /** Whether a lease is held at this moment. */
    val isHeld: Boolean @Synchronized get() = leaseEnd?.hasNotPassedNow() == true

    /** The lease held at this moment, or null. */
    val held: LeaseGrant?
        @Synchronized get() = lease.takeIf { isHeld }

    /** Newest version of which both the lease and the objects are in use. */
    private val actedVersion: Long
        @Synchronized get() = minOf(lease?.version ?: 0, stateVersion)

    /** Starts renewing until [scope] ends. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            repeatGuarded("sidecar") {
                val granted = renewOnce()
                val pause = if (granted) RENEWAL_INTERVAL else REFUSED_INTERVAL
                withTimeoutOrNull(pause) { renewNow.receive() }
            }
        }
    }

    /** A controller wants the sidecar to renew before its time. */
    fun renewEarly() {
        renewNow.trySend(Unit)
    }

    /** The objects of [version] are in use. */
    suspend fun configured(version: Long) {
        val isNewer = synchronized(this) {
            (version > stateVersion).also { if (it) stateVersion = version }
        }
        if (isNewer) acknowledge()
    }

    /** Notices that the lease ran out. To be called often. */
    fun checkExpiry() {
        val expired = synchronized(this) {
            (leaseEnd?.hasPassedNow() == true).also { if (it) leaseEnd = null }
        }
        if (!expired) return
        LOG.warn("sidecar: lease of {} ran out", target)
        events.record(FleetEvent.LeaseExpired(target))
    }

    private suspend fun renewOnce(): Boolean {
        val answer = try {
            link.ask(ASK_LIMIT) { number ->
                requestedAt[number] = TimeSource.Monotonic.markNow()
                LeaseRequest(number, target, incarnation, report(), actedVersion)
            }
        } finally {
            if (requestedAt.size > KEPT_REQUESTS) requestedAt.clear()
        }
        when (answer) {
            is LeaseGrant -> requestedAt.remove(answer.number)?.let { accept(answer, it) }
            is LeaseRefusal -> LOG.warn("sidecar: lease refused: {}", answer.reason)
            else -> LOG.warn("sidecar: no controller answered the lease request")
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
            LOG.info("sidecar: lease of {} at version {}", target, grant.version)
            events.record(FleetEvent.LeaseObtained(target, grant.version, grant.state))
        }
        acknowledge()
    }

    private suspend fun acknowledge() {
        val version = synchronized(this) {
            actedVersion.takeIf { it > acknowledgedVersion }?.also { acknowledgedVersion = it }
        } ?: return
        events.record(FleetEvent.VersionEffective(version))
        link.tell(LeaseAcknowledgement(target, incarnation, version))
    }

    private companion object {
        val RENEWAL_INTERVAL = 1.seconds
        val REFUSED_INTERVAL = 250.milliseconds
        val ASK_LIMIT = 2.seconds
        const val KEPT_REQUESTS = 32
        val LOG: Logger = LoggerFactory.getLogger(LeaseKeeper::class.java)
    }
}
