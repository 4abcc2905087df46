package org.hibiscusproxy.control

import kotlin.time.ComparableTimeMark
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.ControlRefusal
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.LeaseRequest

/**
 * Grants leases on the leader and tracks until when sidecars may still act on an older version.
 *
 * No lease outlives the instant that a leader reports:
 * 1. A leader grants at instant `g` only while `g < s + leaderLease`, where `s` is the sending time
 *    of the last heartbeat that a majority answered.
 * 2. A later leader is elected at instant `e` by a majority. Both majorities share a voter, which
 *    answered the heartbeat before it voted, because afterwards it rejects the earlier term. Hence
 *    `s <= e`, and the earlier leader makes every grant before `e + leaderLease`.
 * 3. A holder counts the duration from the sending of its request, which precedes `g`. The leases
 *    therefore end before `e + leaderLease + duration`, extended by the clock drift:
 *    [LeaseSettings.earlierLeases]. Until then, the new leader assumes that every target holds one.
 *
 * This does not depend on when voters start an election. Since [LeaseSettings.leaderLease] is the
 * election timeout reduced by the drift, a partitioned leader usually stops granting before another
 * one is elected.
 *
 * Callers must read `now` after receiving the message that they pass on; a mark from before the
 * request was sent would invalidate step 3. Not thread-safe.
 *
 * @param electedAt instant at or after this leader's election
 */
class LeaseGranter(private val settings: LeaseSettings, electedAt: ComparableTimeMark) {
    private val holders = HashMap<TargetName, MutableMap<Incarnation, LeaseHolder>>()
    private val newestSeen = HashMap<TargetName, Incarnation>()
    private val loads = PoolLoads(settings)
    private val earlierLeasesEnd = electedAt + settings.earlierLeases
    private var index = TargetIndex(FleetState())

    /** Decides on [request]. */
    fun request(
        request: LeaseRequest,
        state: ControlState,
        majorityContact: ComparableTimeMark?,
        now: ComparableTimeMark,
    ): LeaseDecision {
        if (majorityContact == null || now - majorityContact >= settings.leaderLease) {
            return LeaseDecision.Refused(ControlRefusal.NO_MAJORITY)
        }
        refreshIndex(state)
        val target = index.targets[request.target]
            ?: return LeaseDecision.Refused(ControlRefusal.UNKNOWN_TARGET)
        val newest = newestSeen.merge(target.name, request.incarnation) { left, right ->
            if (left.value >= right.value) left else right
        }
        if (newest != request.incarnation) {
            return LeaseDecision.Refused(ControlRefusal.OTHER_INCARNATION)
        }
        val fencingNumber = state.fencingNumber(target.name, request.incarnation)
            ?: return decideWithoutFencingNumber(target, request, state, now)
        return LeaseDecision.Granted(grant(target, request, state, fencingNumber, now))
    }

    /** Records that the sidecar acts on [version]. */
    fun acknowledge(
        target: TargetName,
        incarnation: Incarnation,
        version: Long,
        now: ComparableTimeMark,
    ) {
        holders[target]?.get(incarnation)?.acknowledge(version, now)
    }

    /**
     * Returns the progress at [now] of the change that created [version].
     *
     * @param state the applied state, whose version must be at least [version]
     */
    fun progress(version: Long, state: ControlState, now: ComparableTimeMark): ChangeProgress {
        refreshIndex(state)
        val unconfirmed = mutableListOf<UnconfirmedTarget>()
        for (name in index.targets.keys + holders.keys) {
            val until = latestExpiryBefore(name, version, now) ?: continue
            unconfirmed += UnconfirmedTarget(name, until)
        }
        val removedUntil = earlierLeasesEnd.takeIf { state.hasRemovedTargets && now < it }
        return ChangeProgress(version, unconfirmed.sortedBy { it.target.value }, removedUntil)
    }

    /** Number of granted leases that may not have expired. */
    fun leasesRunning(now: ComparableTimeMark): Int =
        holders.values.sumOf { holders -> holders.values.count { it.lastExpiry > now } }

    /** Removes expired leases and load reports. */
    fun prune(now: ComparableTimeMark) {
        for (incarnations in holders.values) {
            incarnations.values.removeIf { it.lastExpiry <= now }
        }
        holders.values.removeIf { it.isEmpty() }
        loads.prune(now)
        newestSeen.keys.retainAll(index.targets.keys)
    }

    /**
     * A new incarnation gets its fencing number, and thus a lease, only when no earlier incarnation
     * can hold a lease, unless the engine itself checks the number. Since the number is allocated
     * after the wait, it proves to later leaders that the wait took place.
     */
    private fun decideWithoutFencingNumber(
        target: Target,
        request: LeaseRequest,
        state: ControlState,
        now: ComparableTimeMark,
    ): LeaseDecision {
        val current = state.presentIncarnation(target.name)
            ?: return LeaseDecision.NeedsFencingNumber
        if (current.value > request.incarnation.value) {
            return LeaseDecision.Refused(ControlRefusal.OTHER_INCARNATION)
        }
        if (!target.checksFencing && mayHoldLease(target.name, now)) {
            return LeaseDecision.Refused(ControlRefusal.OTHER_INCARNATION)
        }
        return LeaseDecision.NeedsFencingNumber
    }

    private fun mayHoldLease(target: TargetName, now: ComparableTimeMark): Boolean =
        now < earlierLeasesEnd || holders[target].orEmpty().values.any { it.lastExpiry > now }

    private fun grant(
        target: Target,
        request: LeaseRequest,
        state: ControlState,
        fencingNumber: Long,
        now: ComparableTimeMark,
    ): LeaseGrant {
        val expiry = now + settings.granterDuration
        val holder = holders.getOrPut(target.name) { HashMap() }
            .getOrPut(request.incarnation) { LeaseHolder() }
        holder.acknowledge(request.knownVersion, now)
        holder.recordGrant(state.fleet.version, expiry)
        loads.report(target, request.load, now, expiry)
        return LeaseGrant(
            number = request.number,
            target = target.name,
            version = state.fleet.version,
            state = state.fleet.stateOf(target),
            fencingNumber = fencingNumber,
            durationMilliseconds = settings.duration.inWholeMilliseconds,
            pool = loads.pool(
                target.service,
                index,
                now,
                countsUnreported = now < earlierLeasesEnd,
            ),
        )
    }

    /** Latest expiry of a lease of [name] that may state a version before [version]. */
    private fun latestExpiryBefore(
        name: TargetName,
        version: Long,
        now: ComparableTimeMark,
    ): ComparableTimeMark? {
        val incarnations = holders[name].orEmpty()
        val granted =
            incarnations.values.mapNotNull { it.latestExpiryBefore(version, now) }.maxOrNull()
        if (now >= earlierLeasesEnd) return granted
        // A target that checks fencing itself may have got its number while an earlier incarnation
        // still held a lease of the earlier leader, so its acknowledgement is not sufficient yet.
        val checksFencing = index.targets[name]?.checksFencing ?: true
        val newest = incarnations[newestSeen[name]]
        val isConfirmed = newest != null && newest.acknowledged >= version
        if (isConfirmed && !checksFencing) return granted
        return maxOf(granted ?: earlierLeasesEnd, earlierLeasesEnd)
    }

    private fun refreshIndex(state: ControlState) {
        if (index.fleet !== state.fleet) index = TargetIndex(state.fleet)
    }
}

/** Decision about a lease request. */
sealed class LeaseDecision {
    /** The lease is granted. */
    data class Granted(val grant: LeaseGrant) : LeaseDecision()

    /** No lease is granted; the sidecar retries its request later. */
    data class Refused(val reason: ControlRefusal) : LeaseDecision()

    /** The caller applies an [AllocateFencingNumber] and retries the request. */
    data object NeedsFencingNumber : LeaseDecision()
}

/**
 * How far a change has taken effect in the fleet.
 *
 * @property unconfirmed targets that may still act on an earlier version
 * @property removedTargetsUntil end of the leases that an earlier leader may have granted to
 *   targets that are no longer published and therefore cannot be listed
 */
data class ChangeProgress(
    val version: Long,
    val unconfirmed: List<UnconfirmedTarget>,
    val removedTargetsUntil: ComparableTimeMark? = null,
) {
    /** Whether no target can still act on an earlier version. */
    val isInForce: Boolean get() = inForceBy == null

    /** Instant after which no target acts on an earlier version, or null if none can now. */
    val inForceBy: ComparableTimeMark?
        get() = (unconfirmed.map { it.until } + listOfNotNull(removedTargetsUntil)).maxOrNull()
}

/** A target that may act on an earlier version, but not after [until]. */
data class UnconfirmedTarget(val target: TargetName, val until: ComparableTimeMark)
