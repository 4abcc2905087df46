package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import org.hibiscusproxy.placement.Hashing
import org.hibiscusproxy.placement.Rendezvous

/**
 * Selects a model engine that has the shared prefix of a prompt cached, unless it is much busier than
 * the others. If another engine is selected, it copies the prefix.
 *
 * @param loadMultiple maximum requests of an engine, as a multiple of the mean of its service
 */
internal class EngineSelector(
    private val loadMultiple: Double,
    private val refusals: PlacementRefusals,
) {
    /**
     * Selects one of [targets], which must not be empty, or refuses the request.
     *
     * @param pool all engines of the service
     */
    fun choose(
        request: PlacementRequest,
        prompt: Prompt,
        targets: List<TargetState>,
        pool: List<TargetState>,
        latency: ServiceLatency,
        now: ComparableTimeMark,
    ): PlacementChoice {
        val bound = loadBound(pool, now)
        val trouble = ServiceTrouble(pool, now)
        val preferred = byPreference(prompt, targets.filter { !it.health.isSuspended(now) })
        val eligible = preferred.filter { state ->
            state.presentRunning(now) + 1 <= bound / state.speed.factor &&
                !state.isCold(now) &&
                trouble.excessShare(state) < ServiceTrouble.MAXIMUM_EXCESS_SHARE &&
                latency.prefillTime(state.pendingTokens) * state.slowness(now) < request.objective
        }
        val affine = holder(eligible, prompt, pool, now) ?: eligible.firstOrNull()
        val best = affine ?: targets.minBy { cost(it, prompt, trouble, now) }
        val uncached = best.prefixCache.uncachedTokens(prompt)
        val wait = latency.prefillTime(best.pendingTokens + uncached) * best.slowness(now)
        if (wait > request.remaining) return refusals.overloaded(wait)
        val others = pool.filter {
            it !== best && !it.health.isSuspended(now) && it.acceptance(now) !is Acceptance.Paused
        }
        val source = copySource(best, prompt, others, preferred, now)
        return PlacementChoice.Chosen(best.listed, source?.listed)
    }

    /**
     * Returns the most preferred of the [eligible] engines that has the shared parts of [prompt]
     * cached, unless only engines have them that are clearly busier than the mean of the [pool]:
     * then another one shares the load.
     */
    private fun holder(
        eligible: List<TargetState>,
        prompt: Prompt,
        pool: List<TargetState>,
        now: ComparableTimeMark,
    ): TargetState? {
        val shared = prompt.sharedParts
        if (shared.isEmpty()) return null
        val bound = mean(pool, now) * HOLDER_LOAD_MULTIPLE + BOUND_OFFSET_REQUESTS
        return eligible.firstOrNull {
            val isPreferred = it === eligible.first()
            it.prefixCache.containsAll(shared) &&
                (isPreferred || it.presentRunning(now) + 1 <= bound / it.speed.factor)
        }
    }

    /** Prefill tokens that correspond to the time until [state] answers [prompt]. */
    private fun cost(
        state: TargetState,
        prompt: Prompt,
        trouble: ServiceTrouble,
        now: ComparableTimeMark,
    ): Double {
        val cold = if (state.isCold(now)) COLD_COST_TOKENS else 0.0
        val work = state.pendingTokens + state.prefixCache.uncachedTokens(prompt) +
            state.presentRunning(now) * RUNNING_COST_TOKENS
        return work * state.slowness(now) + cold + trouble.excessShare(state) * FAILURE_COST_TOKENS
    }

    /**
     * Returns the engine from which [best] should copy the prompt's prefix, because copying is
     * faster than prefilling. This is one of [others] that is known to have the prefix cached, or
     * else the engine that other forwarders prefer for it, or preferred before [best] was added.
     */
    private fun copySource(
        best: TargetState,
        prompt: Prompt,
        others: List<TargetState>,
        preferred: List<TargetState>,
        now: ComparableTimeMark,
    ): TargetState? {
        val uncached = best.prefixCache.uncachedTokens(prompt)
        val holder = others.minByOrNull { it.prefixCache.uncachedTokens(prompt) }
        if (holder != null &&
            holder.prefixCache.uncachedTokens(prompt) + MINIMUM_COPY_TOKENS <= uncached
        ) {
            return holder
        }
        val shared = prompt.sharedParts
        val hasShared = shared.isNotEmpty() && best.prefixCache.containsAll(shared)
        if (uncached < MINIMUM_COPY_TOKENS || hasShared) return null
        val other = preferred.firstOrNull { it !== best }
        return other.takeIf { best !== preferred.firstOrNull() || best.isNew(now) }
    }

    /** Maximum requests of one engine of [pool], with a margin below the configured bound. */
    private fun loadBound(pool: List<TargetState>, now: ComparableTimeMark): Double =
        mean(pool, now) * (1 + (loadMultiple - 1) * BOUND_SHARE) + BOUND_OFFSET_REQUESTS

    /** Mean requests of the engines of [pool] that stay. */
    private fun mean(pool: List<TargetState>, now: ComparableTimeMark): Double {
        val staying = pool.filter { it.acceptance(now) !is Acceptance.Leaving }
        return staying.sumOf { it.presentRunning(now) }.toDouble() / staying.size.coerceAtLeast(1)
    }

    /** Sorts engines by rendezvous score of the shared parts, the same at all forwarders. */
    private fun byPreference(prompt: Prompt, candidates: List<TargetState>): List<TargetState> {
        val shared = prompt.sharedParts.lastOrNull() ?: prompt.parts.lastOrNull()
        val hash = Hashing.of(shared?.identifier ?: return emptyList())
        return candidates
            .sortedByDescending { Rendezvous.score(hash, it.listed.name, weight = 1.0) }
    }

    private companion object {
        /** Share of the load multiple's excess to use, because counts of others are stale. */
        const val BOUND_SHARE = 0.8

        /** An engine that is busier than this multiple of the mean keeps no prompts of others. */
        const val HOLDER_LOAD_MULTIPLE = 1.25

        /** Requests allowed in addition to the multiple, for services with little load. */
        const val BOUND_OFFSET_REQUESTS = 3.0

        /** Prefill tokens that delay a new prompt as much as one running stream. */
        const val RUNNING_COST_TOKENS = 100.0

        /** Prefill tokens that are acceptable on another engine to avoid a cold one. */
        const val COLD_COST_TOKENS = 4_000.0

        /** Prefill tokens equivalent to a failure share of 1. */
        const val FAILURE_COST_TOKENS = 20_000.0

        /** Copying fewer tokens takes about as long as prefilling them. */
        const val MINIMUM_COPY_TOKENS = 256L
    }
}
