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
import org.hibiscusproxy.protocol.SentPrompt
import org.hibiscusproxy.protocol.TargetUse

/**
 * Decides where requests go. It answers three loads: many prompts that share long beginnings (an
 * engine that has read the beginning is preferred while it is not much busier than the others),
 * bursts at services with few slots (the least busy target of two drawn at random, so that entries
 * with the same view do not all choose the same one), and more work than the targets can finish in
 * time (refused at once, with the time after which capacity is likely to be free). Used by one thread.
 *
 * @param loadMultiple bound of an engine's requests as a multiple of the mean of its service
 */
class TargetSelector(
    private val loadMultiple: Double,
    private val time: TimeSource.WithComparableMarks,
    private val random: Random,
) {
    private val states = LinkedHashMap<TargetName, TargetState>()
    private var services: Map<ServiceName, ForwardingService> = emptyMap()
    private var drained: Set<DataCenterName> = emptySet()
    private val durations = HashMap<ServiceName, ServiceTime>()
    private val sentPrompts = SentPromptQueue()

    /** Number of entries that share the targets, including this one, as last reported. */
    var entries: Int = ASSUMED_ENTRIES
        private set

    /** Takes the platform's list. A target that is not on it any more is forgotten. */
    fun updateTargets(targets: List<DiscoveredTarget>) {
        val now = time.markNow()
        val names = targets.mapTo(HashSet()) { it.name }
        states.keys.retainAll(names)
        for (target in targets) {
            val state = states[target.name]
            if (state != null && state.isSameStart(target)) {
                state.listed = target
                state.becomeCold(target.coldMilliseconds.milliseconds, now)
            } else {
                val memory = services[target.service]?.engine?.memoryTokens ?: 0
                states[target.name] = TargetState(target, now, memory)
            }
        }
    }

    /** Takes the published services and the data centres that get no new work. */
    fun updateRouting(published: List<ForwardingService>, drainedDataCenters: Set<DataCenterName>) {
        services = published.associateBy { it.name }
        drained = drainedDataCenters
    }

    /** Takes what all other entries have in progress, and the [prompts] that they sent lately. */
    fun updateFleetLoad(
        entryCount: Int,
        uses: List<TargetUse>,
        prompts: List<SentPrompt> = emptyList(),
    ) {
        entries = entryCount.coerceAtLeast(1)
        states.values.forEach {
            it.othersRunning = 0
            it.othersPendingTokens = 0
        }
        uses.forEach { use ->
            states[use.target]?.let {
                it.othersRunning = use.running
                it.othersPendingTokens = use.pendingTokens
            }
        }
        prompts.forEach { states[it.target]?.memory?.add(it.parts) }
    }

    /** Prompts that this entry sent to engines that lacked them, for the next report. */
    fun takeSentPrompts(): List<SentPrompt> = sentPrompts.take()

    /** What this entry has in progress, for the others. */
    fun ownUsage(): List<TargetUse> = states.values
        .filter { it.ownRunning > 0 }
        .map { TargetUse(it.listed.name, it.ownRunning, it.ownPendingTokens) }

    /** Whether any target is known. */
    val hasTargets: Boolean get() = states.isNotEmpty()

    /** Chooses a target for [request], or refuses it. */
    fun choose(request: PlacementRequest): PlacementChoice {
        val now = time.markNow()
        val usable = states.values.filter { it.isUsable(request) }
        if (usable.isEmpty()) return refused(RefusalReason.NO_TARGET, NO_TARGET_PAUSE)
        val sound = usable.filter { !it.health.isSuspended(now) }.ifEmpty { listOf(first(usable)) }
        val available = sound.filter { it.acceptsOneMore(now) }
        if (available.isEmpty()) {
            val pause = sound.minOf { it.coldTime(now) }
            return refused(RefusalReason.COLD, pause.coerceIn(SHORTEST_PAUSE, LONGEST_PAUSE))
        }
        val prompt = request.prompt
        val isEngine = services[request.service]?.engine != null
        return if (prompt != null && isEngine) {
            chooseEngine(request, prompt, available, now)
        } else {
            chooseLeastBusy(request, available)
        }
    }

    /** Counts an attempt at [target] as in progress. */
    fun begin(target: TargetName, prompt: Prompt?): PlacedAttempt {
        val state = states[target]
        val missing = if (prompt == null) 0 else state?.memory?.missing(prompt) ?: 0
        if (state != null) {
            state.ownRunning += 1
            state.ownPendingTokens += missing
            if (state.isCold(time.markNow())) state.takeColdAllowance()
            prompt?.let { remember(it, state) }
        }
        return PlacedAttempt(target, state, missing, time.markNow())
    }

    private fun remember(prompt: Prompt, state: TargetState) {
        val shared = prompt.sharedParts
        if (!state.memory.holds(shared)) sentPrompts.add(SentPrompt(state.listed.name, shared))
        state.memory.add(prompt.parts)
    }

    /** The first part of the answer to [attempt] has come. */
    fun recordFirstPart(attempt: PlacedAttempt) {
        if (attempt.isAnswered) return
        attempt.isAnswered = true
        attempt.state?.let { it.ownPendingTokens -= attempt.missingTokens }
        val service = attempt.state?.listed?.service ?: return
        durations.getOrPut(service) { ServiceTime() }
            .firstPart(attempt.startedAt.elapsedNow(), attempt.missingTokens)
    }

    /** Ends [attempt]. */
    fun end(attempt: PlacedAttempt, result: AttemptResult) {
        if (attempt.isEnded) return
        attempt.isEnded = true
        val state = attempt.state ?: return
        state.ownRunning -= 1
        if (!attempt.isAnswered) state.ownPendingTokens -= attempt.missingTokens
        state.health.record(result, time.markNow())
        if (result == AttemptResult.ANSWERED) {
            durations.getOrPut(state.listed.service) { ServiceTime() }
                .whole(attempt.startedAt.elapsedNow())
        }
    }

    /** The target says that it is cold for [remaining]. */
    fun markCold(target: TargetName, remaining: Duration) {
        states[target]?.becomeCold(remaining, time.markNow())
    }

    private fun TargetState.isUsable(request: PlacementRequest): Boolean =
        listed.service == request.service &&
            !listed.isLeaving &&
            listed.dataCenter !in drained &&
            listed.name !in request.excluded

    private fun TargetState.acceptsOneMore(now: ComparableTimeMark): Boolean {
        if (!isCold(now)) return true
        val rate = services[listed.service]?.coldRequestsPerSecond ?: 0.0
        if (rate <= 0.0) return true
        return hasColdAllowance(rate * ColdAllowance.USED_SHARE / entries, now)
    }

    /** The one that is tried first when all are suspended. */
    private fun first(usable: List<TargetState>): TargetState = usable.minWith(
        compareBy(nullsFirst<ComparableTimeMark>()) { it.health.suspensionEnd() },
    )

    private fun chooseLeastBusy(
        request: PlacementRequest,
        targets: List<TargetState>,
    ): PlacementChoice {
        val drawn = listOf(targets.random(random), targets.random(random))
        var best = drawn.minBy(::busyness)
        val serviceTime = serviceTime(request.service).whole
        if (best.expectedWait(serviceTime) + serviceTime > request.latestFinish(serviceTime)) {
            best = targets.minBy(::busyness)
        }
        val wait = best.expectedWait(serviceTime)
        if (wait + serviceTime > request.latestFinish(serviceTime)) {
            val pause = (wait / 2).coerceIn(SHORTEST_PAUSE, LONGEST_PAUSE)
            return refused(RefusalReason.OVERLOADED, pause)
        }
        return PlacementChoice.Chosen(best.listed)
    }

    /**
     * Time within which the answer has to be expected. While the objective can still be met it is
     * the limit, because late answers delay every request queued behind them.
     */
    private fun PlacementRequest.latestFinish(serviceTime: Duration): Duration =
        if (objective > serviceTime) minOf(objective, remaining) else remaining

    private fun busyness(state: TargetState): Double {
        val slots = state.listed.slots.coerceAtLeast(1)
        return state.running.toDouble() / slots + state.health.failureShare * FAILURE_WEIGHT
    }

    private fun TargetState.expectedWait(serviceTime: Duration): Duration {
        val slots = listed.slots.coerceAtLeast(1)
        val ahead = running - slots + 1
        return if (ahead <= 0) Duration.ZERO else serviceTime * (ahead.toDouble() / slots)
    }

    private fun chooseEngine(
        request: PlacementRequest,
        prompt: Prompt,
        targets: List<TargetState>,
        now: ComparableTimeMark,
    ): PlacementChoice {
        val bound = loadBound(request.service)
        val homes = homes(prompt, targets.filter { !it.health.isSuspended(now) })
        val timing = serviceTime(request.service)
        val home = homes.firstOrNull { state ->
            state.running + 1 <= bound &&
                !state.isCold(now) &&
                state.health.failureShare < SOUND_FAILURE_SHARE &&
                timing.readingTime(state.pendingTokens) < request.objective
        }
        val best = home ?: targets.minBy { state ->
            val cold = if (state.isCold(now)) COLD_TOKENS else 0.0
            state.pendingTokens + state.memory.missing(prompt) + cold +
                state.running * TOKENS_PER_RUNNING + state.health.failureShare * FAILURE_TOKENS
        }
        val missing = best.memory.missing(prompt)
        val wait = timing.readingTime(best.pendingTokens + missing)
        if (wait > request.remaining) {
            val pause = (wait / 2).coerceIn(SHORTEST_PAUSE, LONGEST_PAUSE)
            return refused(RefusalReason.OVERLOADED, pause)
        }
        return PlacementChoice.Chosen(best.listed, copySource(best, missing, prompt, homes)?.listed)
    }

    /**
     * The engine from which [best] should copy the prompt's beginning, because copying is faster
     * than reading it again: one that has read it for this entry, or else the one to which the
     * other entries sent it, which is its usual home, or its home before [best] was added.
     */
    private fun copySource(
        best: TargetState,
        missing: Long,
        prompt: Prompt,
        homes: List<TargetState>,
    ): TargetState? {
        val now = time.markNow()
        val others = states.values.filter {
            it !== best && it.listed.service == best.listed.service && !it.health.isSuspended(now)
        }
        val reader = others.minByOrNull { it.memory.missing(prompt) }
        if (reader != null && reader.memory.missing(prompt) + COPIED_TOKENS <= missing) {
            return reader
        }
        if (missing < COPIED_TOKENS) return null
        val usual = homes.firstOrNull { it !== best }
        return usual.takeIf { best !== homes.first() || best.isNew(now) }
    }

    /** Requests that an engine of [service] may carry, well below the bound that is promised. */
    private fun loadBound(service: ServiceName): Double {
        val pool = states.values.filter { it.listed.service == service && !it.listed.isLeaving }
        val mean = pool.sumOf { it.running }.toDouble() / pool.size.coerceAtLeast(1)
        return mean * (1 + (loadMultiple - 1) * BOUND_SHARE) + BOUND_FLOOR
    }

    /** The engines in the order in which all entries prefer them for the shared parts. */
    private fun homes(prompt: Prompt, candidates: List<TargetState>): List<TargetState> {
        val shared = prompt.sharedParts.lastOrNull() ?: prompt.parts.lastOrNull()
        val hash = Hashing.of(shared?.identifier ?: return emptyList())
        return candidates
            .sortedByDescending { Rendezvous.score(hash, it.listed.name, weight = 1.0) }
    }

    private fun serviceTime(service: ServiceName) = durations.getOrPut(service) { ServiceTime() }

    private fun refused(reason: RefusalReason, pause: Duration): PlacementChoice {
        val spread = 1 + random.nextDouble() * PAUSE_SPREAD
        return PlacementChoice.Refused(reason, pause * spread)
    }

    private companion object {
        /** Assumed until a controller reports it; high, so that cold targets get little load. */
        const val ASSUMED_ENTRIES = 16

        /** Share of the load multiple's excess that is used: other entries' counts are stale. */
        const val BOUND_SHARE = 0.8

        /** Requests beyond the multiple that are always allowed, for services with little load. */
        const val BOUND_FLOOR = 3.0

        /** An engine that fails more of its requests is passed over while others are sound. */
        const val SOUND_FAILURE_SHARE = 0.3

        /** Cost of a running stream, in tokens whose reading delays a new prompt as much. */
        const val TOKENS_PER_RUNNING = 100.0

        /** Cost of a cold engine, in tokens that another one would have to read instead. */
        const val COLD_TOKENS = 4_000.0

        /** Cost of an engine that fails all requests, in tokens. */
        const val FAILURE_TOKENS = 20_000.0

        /** The same for plain services, in multiples of their slots. */
        const val FAILURE_WEIGHT = 4.0

        /** Copying fewer tokens than this takes about as long as reading them. */
        const val COPIED_TOKENS = 256L

        /** A target that restarts or a list that lags is back after about as long. */
        val NO_TARGET_PAUSE = 500.milliseconds
        val SHORTEST_PAUSE = 50.milliseconds
        val LONGEST_PAUSE = 1_000.milliseconds

        /** Spreads callers that were refused at the same moment. */
        const val PAUSE_SPREAD = 0.5
    }
}

/** An attempt that a [TargetSelector] counts as in progress. */
class PlacedAttempt internal constructor(
    val target: TargetName,
    internal val state: TargetState?,
    internal val missingTokens: Long,
    internal val startedAt: ComparableTimeMark,
) {
    internal var isAnswered = false
    internal var isEnded = false
}
