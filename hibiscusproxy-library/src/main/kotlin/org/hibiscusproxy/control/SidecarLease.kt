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
 * The lease of one sidecar. It runs from the sending of the request that it answers, by the
 * holder's monotonic clock, and a grant for an earlier version than one acted on is ignored, so
 * that late messages never bring an earlier state back. Not safe for concurrent use.
 */
class SidecarLease(private val target: TargetName, private val incarnation: Incarnation) {
    private val sentAt = LinkedHashMap<Long, ComparableTimeMark>()
    private var lastNumber = 0L
    private var expiry: ComparableTimeMark? = null

    /** The grant acted on, valid or not. */
    var grant: LeaseGrant? = null
        private set

    /** Newest version acted on; 0 before the first grant. */
    val knownVersion: Long get() = grant?.version ?: 0

    /** The next request, to be sent at [now] and not later than the lease is counted from. */
    fun request(load: LoadReport, now: ComparableTimeMark): LeaseRequest {
        lastNumber += 1
        sentAt[lastNumber] = now
        if (sentAt.size > MAXIMUM_PENDING) sentAt.remove(sentAt.keys.first())
        return LeaseRequest(lastNumber, target, incarnation, load, knownVersion)
    }

    /** Takes an answer. */
    fun receive(grant: LeaseGrant): LeaseReceipt {
        val sent = sentAt.remove(grant.number) ?: return LeaseReceipt.UNEXPECTED
        if (grant.target != target) return LeaseReceipt.UNEXPECTED
        val present = this.grant
        if (present != null && isOlder(grant, present)) return LeaseReceipt.OLDER_VERSION
        val end = sent + grant.durationMilliseconds.milliseconds
        val isRenewal = present != null && present.version == grant.version
        val formerEnd = expiry
        // Answers may overtake each other; a lease of an earlier version lends no time to this one.
        expiry = if (isRenewal && formerEnd != null) maxOf(formerEnd, end) else end
        this.grant = grant
        return if (isRenewal) LeaseReceipt.RENEWED else LeaseReceipt.NEW_VERSION
    }

    /** Whether a lease runs at [now]. */
    fun isValid(now: ComparableTimeMark): Boolean = expiry?.let { now < it } ?: false

    /** Whether new work may start at [now]. */
    fun admits(now: ComparableTimeMark): Boolean =
        isValid(now) && grant?.state == OperationalState.IN

    private fun isOlder(grant: LeaseGrant, present: LeaseGrant): Boolean =
        grant.version < present.version || grant.fencingNumber < present.fencingNumber

    private companion object {
        /** Requests whose answers may still come; older ones are given up. */
        const val MAXIMUM_PENDING = 16
    }
}

/** What a grant did. */
enum class LeaseReceipt {
    /** The lease runs longer, with the same version. */
    RENEWED,

    /** The lease states a newer version, which the sidecar acknowledges. */
    NEW_VERSION,

    /** Ignored: a newer version is acted on. */
    OLDER_VERSION,

    /** Ignored: it answers no pending request. */
    UNEXPECTED,
}
