package org.hibiscusproxy.admission

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.Dispatch
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.LoadReport
import org.hibiscusproxy.protocol.NotRunReason

/**
 * Decides which attempts at one target run, wait or are refused. It keeps the lease, the load
 * bound, the cold start limit, the fair queue and the refused fingerprints. It performs no I/O: the
 * sidecar carries out the returned decisions. Not thread-safe; the sidecar serialises calls.
 */
interface AdmissionController {
    /** Applies a newer fleet state. */
    fun configure(state: FleetState)

    /** Applies a lease. Its duration counts from [requestedAt], when the sidecar requested it. */
    fun renew(lease: LeaseGrant, requestedAt: ComparableTimeMark): List<AdmissionEvent>

    /** Decides on a new attempt, which is queued only if [Dispatch.mayWait] is set. */
    fun offer(dispatch: Dispatch): AdmissionDecision

    /**
     * Refuses a new attempt because of cache placement: the chat is cached elsewhere or not here.
     * Returns false for an attempt that was seen before; its first decision stands.
     */
    fun decline(attempt: Attempt): Boolean

    /**
     * Checks, right before the first byte is sent to the target, whether an admitted attempt may
     * still run. Returns null if so. Otherwise drops the attempt and returns the reason for the
     * entry.
     */
    fun confirm(attempt: Attempt): NotRunReason?

    /** Removes a queued attempt. Returns false if it is not in the queue. */
    fun cancelWaiting(attempt: Attempt): Boolean

    /** Records that the target sent the first byte of the answer to [attempt]. */
    fun firstByte(attempt: Attempt)

    /** Releases the slot of an admitted attempt, which may admit queued attempts. */
    fun finish(attempt: Attempt, result: AttemptResult): List<AdmissionEvent>

    /** Applies the target's own load report, which lags behind its actual state. */
    fun targetReported(report: TargetReport)

    /** Replaces the fingerprints refused by the whole fleet, for [duration] from now. */
    fun refuseFingerprints(fingerprints: Set<Fingerprint>, duration: Duration)

    /** Refuses attempts whose queue time or lease has expired and admits those that now fit. */
    fun advance(): List<AdmissionEvent>

    /** Stops admission permanently and refuses queued attempts as [NotRunReason.LEAVING]. */
    fun shutDown(): List<AdmissionEvent>

    /** Current load for load reports. */
    fun report(): LoadReport
}

/** Decision on a new attempt. */
sealed class AdmissionDecision {
    /** The attempt runs now. */
    data object Admitted : AdmissionDecision()

    /** The attempt waits; an [AdmissionEvent] follows. */
    data object Queued : AdmissionDecision()

    /** The attempt will never run. */
    data class Refused(val reason: NotRunReason, val retryAfter: Duration) : AdmissionDecision()
}

/** Decision on an attempt that was queued. */
sealed class AdmissionEvent {
    /** The attempt that the decision applies to. */
    abstract val attempt: Attempt

    /** The attempt runs now. */
    data class Admit(override val attempt: Attempt) : AdmissionEvent()

    /** The attempt will never run. */
    data class Refuse(
        override val attempt: Attempt,
        val reason: NotRunReason,
        val retryAfter: Duration,
    ) : AdmissionEvent()
}

/** How an admitted attempt ended at the target. */
enum class AttemptResult {
    /** The answer was complete. */
    COMPLETED,

    /** Cancelled by the caller or by the deadline. */
    CANCELLED,

    /** The target refused the connection, so the attempt did not run. */
    UNREACHABLE,

    /** The connection to the target closed before the answer was complete, as in a crash. */
    TARGET_LOST,
}

/** Load and warm-up state as reported by the target itself, with a delay. */
data class TargetReport(val running: Int, val waiting: Int, val warm: Boolean)
