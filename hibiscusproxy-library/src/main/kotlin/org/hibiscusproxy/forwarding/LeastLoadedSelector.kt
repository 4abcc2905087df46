package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Selects the less busy of two random targets, so that during a burst forwarders with the same load
 * information do not all choose the same target.
 */
internal class LeastLoadedSelector(
    private val random: Random,
    private val refusals: PlacementRefusals,
) {
    /** Selects one of [targets], which must not be empty, or refuses the request. */
    fun choose(
        request: PlacementRequest,
        targets: List<TargetState>,
        latency: ServiceLatency,
    ): PlacementChoice {
        val sampled = listOf(targets.random(random), targets.random(random))
        var best = sampled.minBy(::relativeLoad)
        val responseTime = latency.responseTime
        if (best.expectedWait(responseTime) + responseTime > request.timeLimit(responseTime)) {
            best = targets.minBy(::relativeLoad)
        }
        val wait = best.expectedWait(responseTime)
        if (wait + responseTime > request.timeLimit(responseTime)) return refusals.overloaded(wait)
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

    private companion object {
        /** Relative load equivalent to a failure share of 1. */
        const val FAILURE_LOAD = 4.0
    }
}
