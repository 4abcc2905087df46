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
 * Decides beside one target which attempts run, wait or are refused. It holds the lease, the load
 * bound, the cold start limit, the fair queue and the crash marks. It performs no input or output;
 * the sidecar acts on what it returns. Not safe for concurrent use: the sidecar serialises calls.
 */
interface AdmissionController {
    /** Takes objects and states newer than before. */
    fun configure(state: FleetState)

    /** Takes a lease that was asked for at [requestedAt], from which its duration counts. */
    fun renew(lease: LeaseGrant, requestedAt: ComparableTimeMark): List<AdmissionEvent>

    /** Decides about a new attempt, which may wait only if the dispatch says so. */
    fun offer(dispatch: Dispatch): AdmissionDecision

    /**
     * Refuses a new attempt for a reason of placement: the chat is cached elsewhere, or not here.
     * Returns false for an attempt that was seen before, about which no new decision is made.
     */
    fun decline(attempt: Attempt): Boolean

    /**
     * Asks right before the first byte goes to the target whether an admitted attempt may still
     * run. Null means yes; otherwise the attempt is given up and the reason goes to the entry.
     */
    fun confirm(attempt: Attempt): NotRunReason?

    /** Removes a waiting attempt. Returns false when it does not wait here. */
    fun cancelWaiting(attempt: Attempt): Boolean

    /** The target sent the first byte of the answer to [attempt]. */
    fun firstByte(attempt: Attempt)

    /** An admitted attempt ended. Waiting attempts may be admitted in its place. */
    fun finish(attempt: Attempt, result: AttemptResult): List<AdmissionEvent>

    /** Takes the target's own, lagging load report. */
    fun targetReported(report: TargetReport)

    /** Replaces the fingerprints that are refused everywhere, for [duration] from now. */
    fun refuseFingerprints(fingerprints: Set<Fingerprint>, duration: Duration)

    /** Lets queue times, leases and crash marks expire. */
    fun advance(): List<AdmissionEvent>

    /** Stops admission for good; waiting attempts are refused as leaving. */
    fun shutDown(): List<AdmissionEvent>

    /** Present load for reports. */
    fun report(): LoadReport
}

/** Decision about a new attempt. */
sealed class AdmissionDecision {
    /** Run it now. */
    data object Admitted : AdmissionDecision()

    /** It waits; an [AdmissionEvent] follows. */
    data object Queued : AdmissionDecision()

    /** It does not run and never will. */
    data class Refused(val reason: NotRunReason, val retryAfter: Duration) : AdmissionDecision()
}

/** Later decision about a waiting attempt. */
sealed class AdmissionEvent {
    /** The attempt that is decided. */
    abstract val attempt: Attempt

    /** Run it now. */
    data class Admit(override val attempt: Attempt) : AdmissionEvent()

    /** It does not run and never will. */
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

    /** It was cancelled by the caller or its deadline. */
    CANCELLED,

    /** The target refused the connection; nothing ran. */
    UNREACHABLE,

    /** The connection to the target ended early, as in a crash. */
    TARGET_LOST,
}

/** Load and state as the target itself reports them, late. */
data class TargetReport(val running: Int, val waiting: Int, val warm: Boolean)
