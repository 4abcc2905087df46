package org.hibiscusproxy.control

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.LeaseRequest
import org.hibiscusproxy.protocol.LoadReport

/**
 * The lease of one sidecar. Its duration counts from the sending of the request that it answers, on
 * the holder's monotonic clock. A grant for an earlier version than the current one is ignored, so
 * delayed messages never restore an earlier state. Not thread-safe.
 */
class SidecarLease(private val target: TargetName, private val incarnation: Incarnation) {
    private val sentAt = LinkedHashMap<Long, ComparableTimeMark>()
    private var lastNumber = 0L
    private var expiry: ComparableTimeMark? = null

    /** Current grant, which may have expired. */
    var grant: LeaseGrant? = null
        private set

    /** Version of the current grant, or 0 before the first one. */
    val knownVersion: Long get() = grant?.version ?: 0

    /** Creates the next request. It must not be sent before [now], from which the lease counts. */
    fun request(load: LoadReport, now: ComparableTimeMark): LeaseRequest {
        lastNumber += 1
        sentAt[lastNumber] = now
        if (sentAt.size > MAXIMUM_PENDING_REQUESTS) sentAt.remove(sentAt.keys.first())
        return LeaseRequest(lastNumber, target, incarnation, load, knownVersion)
    }

    /** Applies a received grant. */
    fun receive(grant: LeaseGrant): LeaseReceipt {
        val sent = sentAt.remove(grant.number) ?: return LeaseReceipt.UNEXPECTED
        if (grant.target != target) return LeaseReceipt.UNEXPECTED
        val current = this.grant
        if (current != null && isOlder(grant, current)) return LeaseReceipt.OLDER_VERSION
        val end = sent + grant.durationMilliseconds.milliseconds
        val isRenewal = current != null && current.version == grant.version
        val currentEnd = expiry
        // Grants may arrive out of order. The expiry of an earlier version does not carry over.
        expiry = if (isRenewal && currentEnd != null) maxOf(currentEnd, end) else end
        this.grant = grant
        return if (isRenewal) LeaseReceipt.RENEWED else LeaseReceipt.NEW_VERSION
    }

    /** Whether the lease is valid at [now]. */
    fun isValid(now: ComparableTimeMark): Boolean = expiry?.let { now < it } ?: false

    /** Whether new work may start at [now]. */
    fun admits(now: ComparableTimeMark): Boolean =
        isValid(now) && grant?.state == OperationalState.IN

    private fun isOlder(grant: LeaseGrant, current: LeaseGrant): Boolean =
        grant.version < current.version || grant.fencingNumber < current.fencingNumber

    private companion object {
        /** Maximum number of unanswered requests; grants for older ones are ignored. */
        const val MAXIMUM_PENDING_REQUESTS = 16
    }
}

/** Effect of a received grant. */
enum class LeaseReceipt {
    /** The lease is extended at the same version. */
    RENEWED,

    /** The lease has a newer version, which the sidecar acknowledges. */
    NEW_VERSION,

    /** Ignored, because the current grant is newer. */
    OLDER_VERSION,

    /** Ignored, because no pending request matches. */
    UNEXPECTED,
}
