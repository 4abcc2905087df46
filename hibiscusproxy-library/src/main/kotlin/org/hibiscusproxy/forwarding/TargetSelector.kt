package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.placement.Hashing
import org.hibiscusproxy.placement.Rendezvous
import org.hibiscusproxy.protocol.FleetLoad
import org.hibiscusproxy.protocol.SentPrompt
import org.hibiscusproxy.protocol.ServiceDemand
import org.hibiscusproxy.protocol.TargetRate
import org.hibiscusproxy.protocol.TargetUse

/**
 * Selects targets for requests.
 *
 * - Prompts with long shared prefixes go to an engine that has the prefix cached, unless it is much
 *   busier than the others.
 * - Requests to other services go to the less busy of two random targets, so that during a burst
 *   forwarders with the same load information do not all choose the same target.
 * - Requests that the targets cannot finish in time are refused immediately, with the time after
 *   which capacity is likely to be free.
 *
 * Not thread-safe.
 *
 * @param loadMultiple maximum requests of an engine, as a multiple of the mean of its service
 */
class TargetSelector(
    private val loadMultiple: Double,
    private val time: TimeSource.WithComparableMarks,
    private val random: Random,
) {
    private val states = LinkedHashMap<TargetName, TargetState>()
    private var services: Map<ServiceName, ForwardingService> = emptyMap()
    private var drained: Set<DataCenterName> = emptySet()
    private val latencies = HashMap<ServiceName, ServiceLatency>()
    private val sentPrompts = SentPromptQueue()
    private val changedRates = StatedRateQueue(time)
    private val demand = DemandShares(time)

    /** Number of forwarders, including this one, as last reported. */
    var forwarders: Int = ASSUMED_FORWARDERS
        private set

    /** Replaces the targets by the platform's list [targets]. */
    fun updateTargets(targets: List<DiscoveredTarget>) {
        val now = time.markNow()
        val names = targets.mapTo(HashSet()) { it.name }
        states.keys.retainAll(names)
        for (target in targets) {
            val state = states[target.name]
            if (state != null && state.isSameIncarnation(target)) {
                state.listed = target
                state.markCold(target.coldMilliseconds.milliseconds, now)
            } else {
                val memoryTokens = services[target.service]?.engine?.memoryTokens ?: 0
                states[target.name] = TargetState(target, now, memoryTokens, random)
            }
        }
    }

    /** Replaces the published services and the data centres that receive no new requests. */
    fun updateRouting(published: List<ForwardingService>, drainedDataCenters: Set<DataCenterName>) {
        services = published.associateBy { it.name }
        drained = drainedDataCenters
    }

    /** Replaces the load of all other forwarders and records what they sent and learned. */
    fun updateFleetLoad(load: FleetLoad) {
        forwarders = load.entries.coerceAtLeast(1)
        states.values.forEach {
            it.othersRunning = 0
            it.othersPendingTokens = 0
        }
        load.uses.forEach { use ->
            states[use.target]?.let {
                it.othersRunning = use.running
                it.othersPendingTokens = use.pendingTokens
            }
        }
        demand.updateOthers(load.demand)
        load.rates.forEach { rate ->
            val statedAt = time.markNow() - rate.ageMilliseconds.milliseconds
            states[rate.target]?.recordStatedRate(rate.perSecond, statedAt)
        }
        load.prompts.forEach { states[it.target]?.prefixCache?.add(it.parts) }
    }

    /** Removes and returns prompts for the next report: those sent to engines without them. */
    fun takeSentPrompts(): List<SentPrompt> = sentPrompts.take()

    /** Requests of this forwarder in progress, as reported to the others. */
    fun ownUsage(): List<TargetUse> = states.values
        .filter { it.ownRunning > 0 }
        .map { TargetUse(it.listed.name, it.ownRunning, it.ownPendingTokens) }

    val hasTargets: Boolean get() = states.isNotEmpty()

    /** Selects a target for [request], or refuses it. */
    fun choose(request: PlacementRequest): PlacementChoice {
        val now = time.markNow()
        demand.record(request.service)
        val usable = states.values.filter { it.isUsable(request) }
        if (usable.isEmpty()) return refused(RefusalReason.NO_TARGET, NO_TARGET_RETRY_AFTER)
        val healthy = usable.filter { !it.health.isSuspended(now) }
            .ifEmpty { listOf(earliestAvailable(usable)) }
        val share = demand.share(request.service, forwarders)
        val available = healthy.filter { it.canAccept(share, now) }
        if (available.isEmpty()) return refuseUntilAvailable(healthy, share, now)
        val prompt = request.prompt
        val isEngine = services[request.service]?.engine != null
        return if (prompt != null && isEngine) {
            chooseEngine(request, prompt, available, now)
        } else {
            chooseLeastLoaded(request, available)
        }
    }

    /** Refuses a request, because [targets] are cold or have no permit left. */
    private fun refuseUntilAvailable(
        targets: List<TargetState>,
        share: Double,
        now: ComparableTimeMark,
    ): PlacementChoice {
        val (next, wait) = targets
            .map { it to maxOf(it.remainingColdTime(now), it.timeToPermit(share)) }
            .minBy { (_, wait) -> wait }
        val reason = if (next.isCold(now)) RefusalReason.COLD else RefusalReason.RATE_LIMITED
        return refused(reason, wait.coerceIn(MINIMUM_RETRY_AFTER, MAXIMUM_RETRY_AFTER))
    }

    /** Records the start of an attempt at [target]. */
    fun begin(target: TargetName, prompt: Prompt?): PlacedAttempt {
        val state = states[target]
        val uncached = if (prompt == null) 0 else state?.prefixCache?.uncachedTokens(prompt) ?: 0
        if (state != null) {
            state.ownRunning += 1
            state.ownPendingTokens += uncached
            if (state.isCold(time.markNow())) state.takeColdToken()
            state.takePermit()
            prompt?.let { recordPrompt(it, state) }
        }
        return PlacedAttempt(target, state, uncached, time.markNow())
    }

    private fun recordPrompt(prompt: Prompt, state: TargetState) {
        val shared = prompt.sharedParts
        if (!state.prefixCache.containsAll(shared)) {
            sentPrompts.add(SentPrompt(state.listed.name, shared))
        }
        state.prefixCache.add(prompt.parts)
    }

    /** Records the arrival of the first part of the response to [attempt]. */
    fun recordFirstPart(attempt: PlacedAttempt) {
        if (attempt.isAnswered) return
        attempt.isAnswered = true
        attempt.state?.let { it.ownPendingTokens -= attempt.uncachedTokens }
        val service = attempt.state?.listed?.service ?: return
        latencies.getOrPut(service) { ServiceLatency() }
            .recordFirstPart(attempt.startedAt.elapsedNow(), attempt.uncachedTokens)
    }

    /** Records the end of [attempt]. */
    fun end(attempt: PlacedAttempt, result: AttemptResult) {
        if (attempt.isEnded) return
        attempt.isEnded = true
        val state = attempt.state ?: return
        state.ownRunning -= 1
        if (!attempt.isAnswered) state.ownPendingTokens -= attempt.uncachedTokens
        state.health.record(result, time.markNow())
        if (result == AttemptResult.ANSWERED) {
            latencies.getOrPut(state.listed.service) { ServiceLatency() }
                .recordResponse(attempt.startedAt.elapsedNow())
        }
    }

    /** Records that [target] reported to be cold for [remaining]. */
    fun markCold(target: TargetName, remaining: Duration) {
        states[target]?.markCold(remaining, time.markNow())
    }

    /**
     * Records what [target] said about the rate of requests that it takes. Returns whether that
     * differs from what it said before.
     */
    fun recordStatedRate(target: TargetName, rate: StatedRate): Boolean {
        val state = states[target] ?: return false
        val known = state.statedRate
        val perSecond = when (rate) {
            is StatedRate.Limited -> rate.perSecond
            is StatedRate.Unlimited -> null
            is StatedRate.Unreadable -> known
        }
        state.recordStatedRate(perSecond, time.markNow())
        if (perSecond == known) return false
        changedRates.add(TargetRate(target, perSecond, ageMilliseconds = 0))
        return true
    }

    /** Removes and returns rates for the next report: those that targets changed. */
    fun takeChangedRates(): List<TargetRate> = changedRates.take()

    /** Requests of this forwarder for services of which a target states a rate. */
    fun ownDemand(): List<ServiceDemand> = states.values
        .filter { it.statedRate != null }
        .mapTo(LinkedHashSet()) { it.listed.service }
        .map(demand::own)

    /** Whether the platform lists [target] as one that accepts no new requests. */
    fun isLeaving(target: TargetName): Boolean = states[target]?.listed?.isLeaving == true

    private fun TargetState.isUsable(request: PlacementRequest): Boolean =
        listed.service == request.service &&
            !listed.isLeaving &&
            listed.dataCenter !in drained &&
            listed.name !in request.excluded

    private fun TargetState.canAccept(share: Double, now: ComparableTimeMark): Boolean {
        if (!canSendAtStatedRate(share, now)) return false
        if (!isCold(now)) return true
        val rate = services[listed.service]?.coldRequestsPerSecond ?: 0.0
        if (rate <= 0.0) return true
        return canSendWhileCold(rate * ColdRateLimiter.RATE_SHARE / forwarders, now)
    }

    /** Target to try when all are suspended: the one whose suspension ends first. */
    private fun earliestAvailable(usable: List<TargetState>): TargetState = usable.minWith(
        compareBy(nullsFirst<ComparableTimeMark>()) { it.health.suspensionEnd() },
    )

    private fun chooseLeastLoaded(
        request: PlacementRequest,
        targets: List<TargetState>,
    ): PlacementChoice {
        val sampled = listOf(targets.random(random), targets.random(random))
        var best = sampled.minBy(::relativeLoad)
        val responseTime = latency(request.service).responseTime
        if (best.expectedWait(responseTime) + responseTime > request.timeLimit(responseTime)) {
            best = targets.minBy(::relativeLoad)
        }
        val wait = best.expectedWait(responseTime)
        if (wait + responseTime > request.timeLimit(responseTime)) {
            val retryAfter = (wait / 2).coerceIn(MINIMUM_RETRY_AFTER, MAXIMUM_RETRY_AFTER)
            return refused(RefusalReason.OVERLOADED, retryAfter)
        }
        return PlacementChoice.Chosen(best.listed)
    }

    /**
     * Limit for the expected response time. While the objective can still be met, it is the limit,
     * because late responses delay every request queued behind them.
     */
    private fun PlacementRequest.timeLimit(responseTime: Duration): Duration =
        if (objective > responseTime) minOf(objective, remaining) else remaining

    private fun relativeLoad(state: TargetState): Double {
        val slots = state.listed.slots.coerceAtLeast(1)
        return state.running.toDouble() / slots + state.health.failureShare * FAILURE_LOAD
    }

    private fun TargetState.expectedWait(responseTime: Duration): Duration {
        val slots = listed.slots.coerceAtLeast(1)
        val ahead = running - slots + 1
        return if (ahead <= 0) Duration.ZERO else responseTime * (ahead.toDouble() / slots)
    }

    private fun chooseEngine(
        request: PlacementRequest,
        prompt: Prompt,
        targets: List<TargetState>,
        now: ComparableTimeMark,
    ): PlacementChoice {
        val bound = loadBound(request.service)
        val preferred = byPreference(prompt, targets.filter { !it.health.isSuspended(now) })
        val latency = latency(request.service)
        val affine = preferred.firstOrNull { state ->
            state.running + 1 <= bound &&
                !state.isCold(now) &&
                state.health.failureShare < MAXIMUM_FAILURE_SHARE &&
                latency.prefillTime(state.pendingTokens) < request.objective
        }
        val best = affine ?: targets.minBy { state ->
            val cold = if (state.isCold(now)) COLD_COST_TOKENS else 0.0
            state.pendingTokens + state.prefixCache.uncachedTokens(prompt) + cold +
                state.running * RUNNING_COST_TOKENS +
                state.health.failureShare * FAILURE_COST_TOKENS
        }
        val uncached = best.prefixCache.uncachedTokens(prompt)
        val wait = latency.prefillTime(best.pendingTokens + uncached)
        if (wait > request.remaining) {
            val retryAfter = (wait / 2).coerceIn(MINIMUM_RETRY_AFTER, MAXIMUM_RETRY_AFTER)
            return refused(RefusalReason.OVERLOADED, retryAfter)
        }
        val source = copySource(best, uncached, prompt, preferred)
        return PlacementChoice.Chosen(best.listed, source?.listed)
    }

    /**
     * Returns the engine from which [best] should copy the prompt's prefix, because copying is
     * faster than prefilling. This is an engine that is known to have the prefix cached, or else
     * the engine that other forwarders prefer for it, or preferred before [best] was added.
     */
    private fun copySource(
        best: TargetState,
        uncached: Long,
        prompt: Prompt,
        preferred: List<TargetState>,
    ): TargetState? {
        val now = time.markNow()
        val others = states.values.filter {
            it !== best && it.listed.service == best.listed.service && !it.health.isSuspended(now)
        }
        val holder = others.minByOrNull { it.prefixCache.uncachedTokens(prompt) }
        if (holder != null &&
            holder.prefixCache.uncachedTokens(prompt) + MINIMUM_COPY_TOKENS <= uncached
        ) {
            return holder
        }
        if (uncached < MINIMUM_COPY_TOKENS) return null
        val other = preferred.firstOrNull { it !== best }
        return other.takeIf { best !== preferred.first() || best.isNew(now) }
    }

    /** Maximum requests of an engine of [service], with a margin below the configured bound. */
    private fun loadBound(service: ServiceName): Double {
        val pool = states.values.filter { it.listed.service == service && !it.listed.isLeaving }
        val mean = pool.sumOf { it.running }.toDouble() / pool.size.coerceAtLeast(1)
        return mean * (1 + (loadMultiple - 1) * BOUND_SHARE) + BOUND_OFFSET_REQUESTS
    }

    /** Sorts engines by rendezvous score of the shared parts, the same at all forwarders. */
    private fun byPreference(prompt: Prompt, candidates: List<TargetState>): List<TargetState> {
        val shared = prompt.sharedParts.lastOrNull() ?: prompt.parts.lastOrNull()
        val hash = Hashing.of(shared?.identifier ?: return emptyList())
        return candidates
            .sortedByDescending { Rendezvous.score(hash, it.listed.name, weight = 1.0) }
    }

    private fun latency(service: ServiceName) = latencies.getOrPut(service) { ServiceLatency() }

    private fun refused(reason: RefusalReason, retryAfter: Duration): PlacementChoice {
        val jitter = 1 + random.nextDouble() * RETRY_AFTER_JITTER
        return PlacementChoice.Refused(reason, retryAfter * jitter)
    }

    private companion object {
        /** Used until a controller reports the count; high, to limit the load on cold targets. */
        const val ASSUMED_FORWARDERS = 16

        /** Share of the load multiple's excess to use, because counts of others are stale. */
        const val BOUND_SHARE = 0.8

        /** Requests allowed in addition to the multiple, for services with little load. */
        const val BOUND_OFFSET_REQUESTS = 3.0

        /** An engine with a higher failure share loses its preference for cached prefixes. */
        const val MAXIMUM_FAILURE_SHARE = 0.3

        /** Prefill tokens that delay a new prompt as much as one running stream. */
        const val RUNNING_COST_TOKENS = 100.0

        /** Prefill tokens that are acceptable on another engine to avoid a cold one. */
        const val COLD_COST_TOKENS = 4_000.0

        /** Prefill tokens equivalent to a failure share of 1. */
        const val FAILURE_COST_TOKENS = 20_000.0

        /** Relative load equivalent to a failure share of 1, for services without engines. */
        const val FAILURE_LOAD = 4.0

        /** Copying fewer tokens takes about as long as prefilling them. */
        const val MINIMUM_COPY_TOKENS = 256L

        /** About the time for which a restarting target or a lagging list leaves no target. */
        val NO_TARGET_RETRY_AFTER = 500.milliseconds
        val MINIMUM_RETRY_AFTER = 50.milliseconds
        val MAXIMUM_RETRY_AFTER = 1_000.milliseconds

        /** Prevents callers that were refused simultaneously from retrying simultaneously. */
        const val RETRY_AFTER_JITTER = 0.5
    }
}

/** An attempt that [TargetSelector.begin] recorded. */
class PlacedAttempt internal constructor(
    val target: TargetName,
    internal val state: TargetState?,
    internal val uncachedTokens: Long,
    internal val startedAt: ComparableTimeMark,
) {
    internal var isAnswered = false
    internal var isEnded = false
}
