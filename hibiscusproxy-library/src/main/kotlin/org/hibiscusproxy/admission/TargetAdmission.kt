package org.hibiscusproxy.admission

import kotlin.math.max
import kotlin.math.min
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.ServiceKind
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.Dispatch
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.LoadReport
import org.hibiscusproxy.protocol.NotRunReason
import org.hibiscusproxy.protocol.PoolLoad

/**
 * Admission control for one target. An attempt runs if the sidecar holds a lease that allows new
 * work and the number of running requests is below the minimum of capacity, cold start limit and
 * load bound. Otherwise it waits in a bounded fair queue or is refused.
 *
 * The last eighth of the capacity is reserved for teams below their fair share of the running
 * requests, so that a burst of one team does not occupy every slot when another team's request
 * arrives.
 *
 * @property target name of the target that this sidecar serves
 * @property incarnation incarnation of this sidecar; attempts for another one are refused
 * @property maximumQueue maximum number of queued attempts over all teams
 * @property queueTime maximum time in the queue
 */
class TargetAdmission(
    private val target: TargetName,
    private val incarnation: Incarnation,
    maximumQueue: Int,
    private val queueTime: Duration,
    private val timeSource: TimeSource.WithComparableMarks,
) : AdmissionController {
    private val running = RunningAttempts(timeSource)
    private val history = AttemptHistory(timeSource, HISTORY_RETENTION)
    private val queue = FairQueue(timeSource, maximumQueue, AGEING_INTERVAL)
    private val waitEstimator = WaitEstimator()
    private val crashedFingerprints = LinkedHashSet<Fingerprint>()
    private var shares = emptyMap<TeamName, Int>()
    private var configured: Target? = null
    private var loadBound = LoadBound(multiple = 1.25, floor = 1)
    private var state = OperationalState.OUT
    private var coldStart = ColdStartLimit(1, 1)
    private var lease: LeaseGrant? = null
    private var leaseEnd: ComparableTimeMark? = null
    private var refusedFingerprints = emptySet<Fingerprint>()
    private var fingerprintsExpireAt: ComparableTimeMark? = null
    private var isShutDown = false

    override fun configure(state: FleetState) {
        val found = state.objects.targets.find { it.name == target }
        val service = state.objects.services.find { it.name == found?.service }
        if (found != null && !found.hasSameCapacity(configured)) {
            val requiresWarmReport = service?.kind is ServiceKind.Chat
            coldStart = ColdStartLimit(found.coldCapacity, found.capacity, requiresWarmReport)
        }
        configured = found
        service?.let { loadBound = LoadBound(it.loadMultiple, it.loadFloor) }
        shares = state.objects.teams.associate { it.name to it.share }
        val newState = found?.let { state.stateOf(it) } ?: OperationalState.OUT
        // A target that was out of service may have restarted since its last report.
        if (newState == OperationalState.IN && this.state == OperationalState.OUT) {
            coldStart.reset()
        }
        this.state = newState
    }

    override fun renew(lease: LeaseGrant, requestedAt: ComparableTimeMark): List<AdmissionEvent> {
        val end = requestedAt + lease.durationMilliseconds.milliseconds
        val held = this.lease
        val isOlder = held != null &&
            (lease.version < held.version || lease.fencingNumber < held.fencingNumber)
        val isLater = leaseEnd.let { it == null || end > it }
        if (!isOlder && isLater) {
            this.lease = lease
            leaseEnd = end
        }
        return advance()
    }

    override fun offer(dispatch: Dispatch): AdmissionDecision {
        val mayWait = dispatch.mayWait
        if (dispatch.incarnation != incarnation) return refuse(NotRunReason.OLD_INCARNATION)
        if (!history.record(dispatch.attempt)) return refuse(NotRunReason.STALE_ATTEMPT)
        blockReason()?.let { return refuse(it) }
        if (isFingerprintRefused(dispatch.fingerprint)) return refuse(NotRunReason.CRASHES_TARGETS)
        if (dispatch.remainingMilliseconds <= 0) return refuse(NotRunReason.DEADLINE)
        val limit = if (mayWait) limit() else probeLimit()
        if (hasSlot(dispatch.team, limit) && queue.teams.none { hasSlot(it, limit) }) {
            queue.charge(dispatch.team, shareOf(dispatch.team))
            running.add(dispatch)
            return AdmissionDecision.Admitted
        }
        if (!mayWait) return refuse(NotRunReason.OVERLOADED)
        val wait = minOf(queueTime, dispatch.remainingMilliseconds.milliseconds)
        val isQueued = queue.add(dispatch, timeSource.markNow() + wait)
        return if (isQueued) AdmissionDecision.Queued else refuse(NotRunReason.OVERLOADED)
    }

    override fun decline(attempt: Attempt): Boolean = history.record(attempt)

    override fun confirm(attempt: Attempt): NotRunReason? {
        val entry = running[attempt] ?: return NotRunReason.STALE_ATTEMPT
        val reason = blockReason()
            ?: NotRunReason.CRASHES_TARGETS.takeIf { isFingerprintRefused(entry.fingerprint) }
            ?: NotRunReason.DEADLINE.takeIf { entry.deadline.hasPassedNow() }
        if (reason != null) running.remove(attempt)
        return reason
    }

    override fun cancelWaiting(attempt: Attempt): Boolean = queue.remove(attempt)

    override fun firstByte(attempt: Attempt) {
        val entry = running[attempt] ?: return
        if (entry.hasFirstByte) return
        entry.hasFirstByte = true
        coldStart.firstByte(entry.age)
    }

    override fun finish(attempt: Attempt, result: AttemptResult): List<AdmissionEvent> {
        val entry = running.remove(attempt) ?: return advance()
        when (result) {
            AttemptResult.COMPLETED -> waitEstimator.recordRunTime(entry.age)

            AttemptResult.CANCELLED -> Unit

            AttemptResult.UNREACHABLE -> coldStart.reset()

            AttemptResult.TARGET_LOST -> {
                coldStart.reset()
                crashedFingerprints += entry.fingerprint
            }
        }
        return advance()
    }

    /**
     * Returns and clears the fingerprints that were in flight when the target was lost. To be
     * called once after all attempts of one loss have finished, so that they are reported as one
     * crash.
     */
    fun takeCrashedFingerprints(): Set<Fingerprint> =
        crashedFingerprints.toSet().also { crashedFingerprints.clear() }

    override fun targetReported(report: TargetReport) = coldStart.applyReport(report.warm)

    override fun refuseFingerprints(fingerprints: Set<Fingerprint>, duration: Duration) {
        refusedFingerprints = fingerprints
        fingerprintsExpireAt = timeSource.markNow() + duration
    }

    override fun advance(): List<AdmissionEvent> {
        val events = ArrayList<AdmissionEvent>()
        queue.removeExpired().mapTo(events) { refuseWaiting(it, NotRunReason.QUEUE_TIMEOUT) }
        val blocked = blockReason()
        if (blocked != null) {
            queue.clear().mapTo(events) { refuseWaiting(it, blocked) }
            return events
        }
        while (running.size < limit()) {
            val next = queue.poll(::shareOf) { hasSlot(it, limit()) } ?: break
            running.add(next)
            events += AdmissionEvent.Admit(next.attempt)
        }
        return events
    }

    override fun shutDown(): List<AdmissionEvent> {
        isShutDown = true
        return advance()
    }

    override fun report(): LoadReport = LoadReport(running.size, queue.size, limit())

    private fun blockReason(): NotRunReason? {
        val current = lease
        return when {
            isShutDown -> NotRunReason.LEAVING
            current == null || leaseEnd!!.hasPassedNow() -> NotRunReason.NO_LEASE
            current.state == OperationalState.OUT || state == OperationalState.OUT ->
                NotRunReason.LEAVING
            else -> null
        }
    }

    private fun limit(): Int = limit { loadBound.bound(it) }

    private fun probeLimit(): Int = limit { loadBound.probeBound(it) }

    private fun limit(bound: (PoolLoad) -> Int): Int {
        val configured = configured ?: return 0
        val pool = lease?.pool ?: return 0
        return min(min(configured.capacity, coldStart.limit), bound(pool))
    }

    private fun hasSlot(team: TeamName, limit: Int): Boolean {
        if (running.size >= limit) return false
        val capacity = min(configured?.capacity ?: 0, coldStart.limit)
        if (running.size < capacity - capacity / RESERVED_CAPACITY_DIVISOR) return true
        val fairSlots = running.fairSlots(team, running.teams + queue.teams, capacity, ::shareOf)
        return running.countOf(team) < fairSlots
    }

    private fun shareOf(team: TeamName): Int = shares[team] ?: 1

    private fun isFingerprintRefused(fingerprint: Fingerprint): Boolean =
        fingerprint in refusedFingerprints && fingerprintsExpireAt?.hasNotPassedNow() == true

    private fun refuse(reason: NotRunReason): AdmissionDecision =
        AdmissionDecision.Refused(reason, retryAfter(reason))

    private fun refuseWaiting(dispatch: Dispatch, reason: NotRunReason): AdmissionEvent =
        AdmissionEvent.Refuse(dispatch.attempt, reason, retryAfter(reason))

    private fun retryAfter(reason: NotRunReason): Duration = when (reason) {
        NotRunReason.OVERLOADED, NotRunReason.QUEUE_TIMEOUT ->
            waitEstimator.estimate(queue.size, max(1, limit()))

        NotRunReason.NO_LEASE -> LEASE_RETRY_DELAY

        else -> Duration.ZERO
    }

    private fun Target.hasSameCapacity(other: Target?): Boolean =
        other != null && capacity == other.capacity && coldCapacity == other.coldCapacity

    private companion object {
        val HISTORY_RETENTION = 10.minutes
        val AGEING_INTERVAL = 2.seconds
        val LEASE_RETRY_DELAY = 1.seconds
        const val RESERVED_CAPACITY_DIVISOR = 8
    }
}
