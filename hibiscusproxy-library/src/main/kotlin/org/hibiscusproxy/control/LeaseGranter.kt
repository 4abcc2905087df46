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
 * Grants leases on the leader and knows until when an older version can still be acted on.
 *
 * Why no lease outlives what a leader reports:
 * 1. A leader grants at instant `g` only while its last majority contact `s`, the sending time of a
 *    heartbeat that a majority answered, satisfies `g < s + leaderLease`.
 * 2. A later leader is elected at instant `e` by a majority. One voter belongs to both majorities,
 *    and it answered the heartbeat before it voted, because afterwards it refuses the earlier term.
 *    Hence `s <= e`, and every grant of the earlier leader is made before `e + leaderLease`.
 * 3. A holder counts from the sending of its request, which is before `g`, so that these leases end
 *    before `e + leaderLease + duration`, stretched by the drift between the clocks:
 *    [LeaseSettings.earlierLeases]. The new leader assumes until then that every target holds one.
 *
 * This needs no assumption about when voters stand for election. As [LeaseSettings.leaderLease] is
 * the election timeout shortened by the drift, a leader that is cut off usually stops granting
 * before another is elected at all.
 *
 * The caller must read `now` after it received the message that it passes on; a mark from before
 * the request was sent would break step 3. Not safe for concurrent use.
 *
 * @param electedAt instant at or after this leader's election
 */
class LeaseGranter(private val settings: LeaseSettings, electedAt: ComparableTimeMark) {
    private val holders = HashMap<TargetName, MutableMap<Incarnation, LeaseHolder>>()
    private val newestSeen = HashMap<TargetName, Incarnation>()
    private val loads = PoolLoads(settings)
    private val earlierLeasesEnd = electedAt + settings.earlierLeases
    private var index = TargetIndex(FleetState())

    /** Decides about [request]. */
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
            ?: return firstRequest(target, request, state, now)
        return LeaseDecision.Granted(grant(target, request, state, fencingNumber, now))
    }

    /** Notes that the sidecar acts on [version]. */
    fun acknowledge(
        target: TargetName,
        incarnation: Incarnation,
        version: Long,
        now: ComparableTimeMark,
    ) {
        holders[target]?.get(incarnation)?.acknowledge(version, now)
    }

    /**
     * Where a change that made [version] is in force at [now].
     *
     * @param state the applied state, whose version must be at least [version]
     */
    fun progress(version: Long, state: ControlState, now: ComparableTimeMark): ChangeProgress {
        refreshIndex(state)
        val open = mutableListOf<UnconfirmedTarget>()
        for (name in index.targets.keys + holders.keys) {
            val latest = latestOldLease(name, version, now) ?: continue
            open += UnconfirmedTarget(name, latest)
        }
        val earlier = earlierLeasesEnd.takeIf { state.hasRemovedTargets && now < it }
        return ChangeProgress(version, open.sortedBy { it.target.value }, earlier)
    }

    /** Number of granted leases that may still run. */
    fun leasesRunning(now: ComparableTimeMark): Int =
        holders.values.sumOf { holders -> holders.values.count { it.lastExpiry > now } }

    /** Forgets leases that have run out and reports that no longer count. */
    fun prune(now: ComparableTimeMark) {
        for (incarnations in holders.values) {
            incarnations.values.removeIf { it.lastExpiry <= now }
        }
        holders.values.removeIf { it.isEmpty() }
        loads.prune(now)
        newestSeen.keys.retainAll(index.targets.keys)
    }

    /**
     * A new incarnation gets its number, and thus a lease, only when no earlier incarnation can
     * hold one, unless the engine itself checks the number. Allocating the number after the wait
     * makes the number a proof for later leaders that the wait took place.
     */
    private fun firstRequest(
        target: Target,
        request: LeaseRequest,
        state: ControlState,
        now: ComparableTimeMark,
    ): LeaseDecision {
        val present = state.presentIncarnation(target.name)
            ?: return LeaseDecision.NeedsFencingNumber
        if (present.value > request.incarnation.value) {
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
        holder.granted(state.fleet.version, expiry)
        loads.report(target, request.load, now, expiry)
        return LeaseGrant(
            number = request.number,
            target = target.name,
            version = state.fleet.version,
            state = state.fleet.stateOf(target),
            fencingNumber = fencingNumber,
            durationMilliseconds = settings.duration.inWholeMilliseconds,
            pool = loads.pool(target.service, index, now, countsUnknown = now < earlierLeasesEnd),
        )
    }

    private fun latestOldLease(
        name: TargetName,
        version: Long,
        now: ComparableTimeMark,
    ): ComparableTimeMark? {
        val incarnations = holders[name].orEmpty()
        val granted = incarnations.values.mapNotNull { it.latestBefore(version, now) }.maxOrNull()
        if (now >= earlierLeasesEnd) return granted
        // A target that fences itself may have got its number while an earlier incarnation still
        // held a lease of the earlier leader, so that its acknowledgement proves nothing yet.
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
    /** The lease. */
    data class Granted(val grant: LeaseGrant) : LeaseDecision()

    /** No lease; the sidecar asks again. */
    data class Refused(val reason: ControlRefusal) : LeaseDecision()

    /** Apply an [AllocateFencingNumber], then decide again. */
    data object NeedsFencingNumber : LeaseDecision()
}

/**
 * Where a change is in force.
 *
 * @property unconfirmed targets that may still act on an earlier version
 * @property removedTargetsUntil end of the leases that an earlier leader may have granted to
 *   targets which are no longer published, so that they cannot be named
 */
data class ChangeProgress(
    val version: Long,
    val unconfirmed: List<UnconfirmedTarget>,
    val removedTargetsUntil: ComparableTimeMark? = null,
) {
    /** Whether no target can act on an earlier version any more. */
    val isInForce: Boolean get() = inForceBy == null

    /** Instant after which no target acts on an earlier version; null when that is now. */
    val inForceBy: ComparableTimeMark?
        get() = (unconfirmed.map { it.until } + listOfNotNull(removedTargetsUntil)).maxOrNull()
}

/** A target that may act on an earlier version, at the latest [until]. */
data class UnconfirmedTarget(val target: TargetName, val until: ComparableTimeMark)
