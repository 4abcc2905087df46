package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.hibiscusproxy.admission.PriorityAdmission
import org.hibiscusproxy.admission.RequestClass
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.FleetLoad
import org.hibiscusproxy.protocol.SentPrompt
import org.hibiscusproxy.protocol.ServiceDemand
import org.hibiscusproxy.protocol.TargetRate
import org.hibiscusproxy.protocol.TargetUse
import org.hibiscusproxy.rollout.ExposureLimits
import org.hibiscusproxy.rollout.Rollout

/**
 * Selects targets for requests, and keeps what is known of the targets. Of the targets that may get
 * a request now, [EngineSelector] selects among model engines and [LeastLoadedSelector] among others.
 * Requests that the targets cannot finish in time are refused immediately; [PriorityAdmission]
 * refuses the less urgent ones first. Not thread-safe.
 *
 * @param loadMultiple maximum requests of an engine, as a multiple of the mean of its service
 * @param dataCenter data centre of this forwarder, which is preferred among equal targets
 * @param rollouts restricts the targets of services whose software changes
 */
class TargetSelector(
    loadMultiple: Double,
    internal val time: TimeSource.WithComparableMarks,
    private val random: Random,
    dataCenter: DataCenterName? = null,
    private val rollouts: RolloutTargets = RolloutTargets(ExposureLimits(), time, random),
) {
    internal val states = LinkedHashMap<TargetName, TargetState>()
    private var services: Map<ServiceName, ForwardingService> = emptyMap()
    private var drained: Set<DataCenterName> = emptySet()
    private val latencies = HashMap<ServiceName, ServiceLatency>()
    private val prompts = PlacedPrompts()
    private val changedRates = StatedRateQueue(time)
    private val demand = DemandShares(time)
    private val notices = TargetNotices()
    private val refusals = PlacementRefusals(random)
    private val engines = EngineSelector(loadMultiple, refusals)
    private val leastLoaded = LeastLoadedSelector(random, refusals, dataCenter)

    private val speeds = SpeedLearning()

    /** Refuses less urgent requests while a service is short of room. */
    val admission = PriorityAdmission(time, random)

    private val forwarderCount = ForwarderCount(time)

    /** Number of forwarders, including this one, as leaders reported; null before the first report. */
    val reportedForwarders: Int? get() = forwarderCount.largest

    private val forwarders: Int get() = reportedForwarders ?: ASSUMED_FORWARDERS

    /** Replaces the targets by the platform's list [targets]. */
    fun updateTargets(targets: List<DiscoveredTarget>) {
        val now = time.markNow()
        val names = targets.mapTo(HashSet()) { it.name }
        states.keys.retainAll(names)
        for (target in targets) {
            val state = states[target.name]
            val notice = notices.of(target, now)
            if (state != null && state.listed.isSameIncarnation(target)) {
                state.listed = target
                state.markCold(target.coldMilliseconds.milliseconds, now)
            } else {
                states[target.name] =
                    TargetState(target, now, memoryTokens(target), notice, random)
            }
        }
        notices.forgetUnlisted(now)
        rollouts.updateTargets(targets)
    }

    /** Replaces the published services, the data centres that receive no new requests, and rollouts. */
    fun updateRouting(
        published: List<ForwardingService>,
        drainedDataCenters: Set<DataCenterName>,
        latestRollouts: List<Rollout> = emptyList(),
    ) {
        rollouts.updateRollouts(latestRollouts, drainedDataCenters)
        services = published.associateBy { it.name }
        drained = drainedDataCenters
        states.values.forEach { it.prefixCache.capacityTokens = memoryTokens(it.listed) }
    }

    private fun memoryTokens(target: DiscoveredTarget): Long =
        services[target.service]?.engine?.memoryTokens ?: 0

    /** Replaces the load of all other forwarders and records what they sent and learned. */
    fun updateFleetLoad(load: FleetLoad) {
        forwarderCount.record(load.entries)
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
        admission.updateOthers(load)
        load.rates.forEach { rate ->
            val statedAt = time.markNow() - rate.ageMilliseconds.milliseconds
            states[rate.target]?.recordStatedRate(rate.perSecond, statedAt)
        }
        load.prompts.forEach { states[it.target]?.prefixCache?.add(it.parts) }
    }

    /** Removes and returns prompts for the next report: those sent to engines without them. */
    fun takeSentPrompts(): List<SentPrompt> = prompts.takeSent()

    /** Requests of this forwarder in progress, as reported to the others. */
    fun ownUsage(): List<TargetUse> = states.values
        .filter { it.ownRunning > 0 }
        .map { TargetUse(it.listed.name, it.ownRunning, it.ownPendingTokens) }

    val hasTargets: Boolean get() = states.isNotEmpty()

    /** Selects a target for [request], or refuses it. */
    fun choose(request: PlacementRequest): PlacementChoice {
        val now = time.markNow()
        demand.record(request.service)
        val pool = states.values.filter { it.isOpen(request.service, now) }
        val usable = pool.filter { it.listed.name !in request.excluded }
        val healthy = usable.filter { !it.health.isSuspended(now) }
        if (healthy.isNotEmpty()) admissionRefusal(request, healthy, now)?.let { return it }
        val order = rollouts.order(request, usable, pool, forwarders, now)
        return choose(request, order, now).also { rollouts.record(request, order, it) }
    }

    private fun choose(
        request: PlacementRequest,
        order: RolloutOrder,
        now: ComparableTimeMark,
    ): PlacementChoice {
        val last = order.groups.lastOrNull() ?: return refuseWithoutTarget(request, now)
        return order.groups.dropLast(1)
            .filterNot { group -> group.all { it.health.isSuspended(now) } }
            .firstNotNullOfOrNull { chooseAmong(it, request, now) as? PlacementChoice.Chosen }
            ?: chooseAmong(last, request, now)
    }

    private fun chooseAmong(
        usable: List<TargetState>,
        request: PlacementRequest,
        now: ComparableTimeMark,
    ): PlacementChoice {
        val healthy = usable.filter { !it.health.isSuspended(now) }
            .ifEmpty { listOf(earliestAvailable(usable)) }
        val share = demand.share(request.service, forwarders)
        val available = healthy.filter { it.canAccept(share, now) }
        if (available.isEmpty()) return refuseUntilAvailable(healthy, share, now)
        val prompt = request.prompt
        val isEngine = services[request.service]?.engine != null
        val latency = latency(request.service)
        return if (prompt != null && isEngine) {
            // Idle targets of a version under trial count too: a bound is a multiple of the mean of all.
            engines.choose(request, prompt, available, pool(request.service), latency, now)
        } else {
            leastLoaded.choose(request.withLenientObjective(latency), available, latency, now)
        }
    }

    /** Refuses a new request for which [targets] have no room; null if it is admitted. */
    private fun admissionRefusal(
        request: PlacementRequest,
        targets: List<TargetState>,
        now: ComparableTimeMark,
    ): PlacementChoice? {
        val key = RequestClass(request.rank, request.team)
        // What was begun is finished: neither another attempt nor the rest of a stream is refused.
        val isBegun = request.isRetry || request.versions is VersionChoice.Only
        val latency = latency(request.service)
        val room = RoomEstimate.of(targets, services[request.service], latency, now)
        return admission.refusal(request.service, key, room, request.objective, isBegun)
            ?.let { refusals.unavailable(RefusalReason.OVERLOADED, it) }
    }

    /**
     * Returns the request such that it is refused only if it cannot be answered before its timeout,
     * while the admission limits what is in progress. Refusals by the expected wait would undo its
     * order, and are wrong where requests take less time than the counts of others are old.
     */
    private fun PlacementRequest.withLenientObjective(latency: ServiceLatency): PlacementRequest {
        val hasOthers = (reportedForwarders ?: 1) > 1
        val areCountsOld = hasOthers && latency.responseTime < COUNTS_AGE
        return if (areCountsOld || admission.isShort(service)) copy(objective = remaining) else this
    }

    private fun refuseWithoutTarget(
        request: PlacementRequest,
        now: ComparableTimeMark,
    ): PlacementChoice {
        val staying = states.values.filter {
            it.listed.service == request.service &&
                it.acceptance(now) !is Acceptance.Leaving &&
                !rollouts.isExcluded(it.listed)
        }
        val isGone = request.versions is VersionChoice.Only &&
            staying.map { it.listed }.none(request.versions::matches)
        if (isGone) return refusals.versionGone()
        val listed = staying.filter { it.listed.dataCenter !in drained }
        val used = rollouts.order(request, listed, listed, forwarders, now).groups.flatten()
        val pauses = used.map { (it.acceptance(now) as? Acceptance.Paused)?.remaining }
        val shortest = pauses.minOfOrNull { it ?: Duration.ZERO } ?: Duration.ZERO
        return if (shortest.isPositive()) refusals.paused(shortest) else refusals.noTarget()
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
        return refusals.unavailable(reason, wait)
    }

    /** Records the start of an attempt at [target]. */
    fun begin(target: TargetName, prompt: Prompt?): PlacedAttempt {
        val state = states[target]
        val uncached = if (prompt == null) 0 else state?.prefixCache?.uncachedTokens(prompt) ?: 0
        if (prompt != null && state != null) {
            admission.recordPrompt(state.listed.service, uncached)
        }
        val expected = state?.let {
            val service = it.listed.service
            val read = uncached.takeIf { services[service]?.engine != null }
            speeds.expectedTime(it, latency(service), read, time.markNow())
        }
        var added: List<PromptPart> = emptyList()
        val isCold = state?.isCold(time.markNow()) == true
        if (state != null) {
            state.ownRunning += 1
            state.ownPendingTokens += uncached
            if (isCold) state.takeColdToken()
            state.takePermit()
            if (prompt != null) added = prompts.begin(prompt, state)
        }
        return PlacedAttempt(
            target,
            state,
            uncached,
            time.markNow(),
            expected,
            prompt,
            added,
            isCold,
            pendingTokens = state?.pendingTokens ?: 0,
        )
    }

    /** Records the arrival of the first part of the response to [attempt]. */
    fun recordFirstPart(attempt: PlacedAttempt) {
        if (attempt.isAnswered) return
        attempt.isAnswered = true
        attempt.state?.let { it.ownPendingTokens -= attempt.uncachedTokens }
        val service = attempt.state?.listed?.service ?: return
        admission.recordPrefill(service, attempt.pendingTokens, attempt.startedAt.elapsedNow())
        latencies.getOrPut(service) { ServiceLatency() }
            .recordFirstPart(attempt.startedAt.elapsedNow(), attempt.uncachedTokens)
        if (services[service]?.engine != null) speeds.record(attempt, pool(service))
    }

    /** Records the end of [attempt]. */
    fun end(attempt: PlacedAttempt, result: AttemptResult) {
        if (attempt.isEnded) return
        attempt.isEnded = true
        val state = attempt.state ?: return
        state.ownRunning -= 1
        if (!attempt.isAnswered) state.ownPendingTokens -= attempt.uncachedTokens
        val now = time.markNow()
        val others = ServiceTrouble(pool(state.listed.service), now).shareOfOthers(state)
        state.health.record(result, now, others)
        prompts.end(attempt, result)
        if (result == AttemptResult.ANSWERED) {
            latencies.getOrPut(state.listed.service) { ServiceLatency() }
                .recordResponse(attempt.startedAt.elapsedNow())
            val service = services[state.listed.service]
            if (service?.engine == null) speeds.record(attempt, pool(state.listed.service))
            val limit = RoomEstimate.limit(state, service, time.markNow())
            if (limit == null) admission.recordAnswer(state.listed.service)
        }
    }

    /**
     * Whether a request that [target] failed may be sent there again. Another engine would have to
     * read or copy the prompt, and fails as often while the whole service is in trouble.
     */
    fun mayRepeatAt(target: TargetName): Boolean {
        val state = states[target] ?: return false
        val service = state.listed.service
        if (services[service]?.engine == null) return false
        return ServiceTrouble(pool(service), time.markNow()).mayRepeatAt(state)
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

    /** Records the [load] that [target] states in an answer. */
    fun recordLoad(target: TargetName, load: LoadStatement.Known) {
        val state = states[target] ?: return
        state.load.record(load, time.markNow(), state.ownRunning)
    }

    /** Removes and returns rates for the next report: those that targets changed. */
    fun takeChangedRates(): List<TargetRate> = changedRates.take()

    /** Requests of this forwarder for services of which a target states a rate. */
    fun ownDemand(): List<ServiceDemand> = states.values
        .filter { it.statedRate != null }
        .mapTo(LinkedHashSet()) { it.listed.service }
        .map(demand::own)

    /** Whether [target] is listed or stated itself as one that accepts no new requests. */
    fun isLeaving(target: TargetName): Boolean =
        states[target]?.acceptance(time.markNow()) is Acceptance.Leaving

    /** Whether [target] is listed and takes new requests from this forwarder. */
    fun takesRequests(target: TargetName): Boolean = states[target]?.let {
        it.acceptance(time.markNow()) is Acceptance.Open && !rollouts.isExcluded(it.listed)
    } == true

    private fun TargetState.isOpen(service: ServiceName, now: ComparableTimeMark): Boolean =
        listed.service == service &&
            acceptance(now) is Acceptance.Open &&
            listed.dataCenter !in drained

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

    private fun pool(service: ServiceName): List<TargetState> =
        states.values.filter { it.listed.service == service }

    internal fun latency(service: ServiceName) = latencies.getOrPut(service) { ServiceLatency() }

    private companion object {
        /** Used until a controller reports the count; high, to limit the load on cold targets. */
        const val ASSUMED_FORWARDERS = 16

        /** Least age of the load of other forwarders. */
        val COUNTS_AGE = 250.milliseconds
    }
}
