package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import org.hibiscusproxy.model.DataCenterName

/**
 * Selects a target of a service without engines. Where targets have the same speed, it is the less
 * busy of two random ones, so that during a burst forwarders with the same load information do not
 * all choose the same target. Where targets state how fast they are, or are known to differ, faster
 * targets are drawn more often, and of the two drawn the one with the lower expected time is chosen.
 *
 * @param dataCenter data centre of this forwarder, preferred among equal targets because bytes
 * between data centres are paid for
 */
internal class LeastLoadedSelector(
    private val random: Random,
    private val refusals: PlacementRefusals,
    private val dataCenter: DataCenterName?,
) {
    /** Selects one of [targets], which must not be empty, or refuses the request. */
    fun choose(
        request: PlacementRequest,
        targets: List<TargetState>,
        latency: ServiceLatency,
        now: ComparableTimeMark,
    ): PlacementChoice {
        val responseTime = latency.responseTime
        val hasSpeeds = targets.any { it.hasOwnSpeed }
        var best = if (hasSpeeds) {
            List(2) { drawBySpeed(targets, now) }.minBy { expectedCost(it, now) }
        } else {
            List(2) { targets.random(random) }.minBy { relativeLoad(it, now) }
        }
        val limit = request.timeLimit(responseTime)
        if (best.expectedTime(responseTime, now) > limit) {
            best = if (hasSpeeds) {
                targets.minBy { it.expectedTime(responseTime, now) }
            } else {
                targets.minBy { relativeLoad(it, now) }
            }
        }
        if (best.expectedTime(responseTime, now) > limit) {
            return refusals.overloaded(best.expectedWait(responseTime, now))
        }
        return PlacementChoice.Chosen(best.listed)
    }

    /**
     * Limit for the expected response time. While the objective can still be met, it is the limit,
     * because late responses delay every request queued behind them.
     */
    private fun PlacementRequest.timeLimit(responseTime: Duration): Duration =
        if (objective > responseTime) minOf(objective, remaining) else remaining

    /**
     * Draws one of [targets]. The lowest expected time of all would be wrong: with reports that are
     * 250 to 500 ms old, all forwarders send the requests of a burst to the same target.
     */
    private fun drawBySpeed(targets: List<TargetState>, now: ComparableTimeMark): TargetState {
        val weights = targets.map { 1 / (it.slowness(now) * it.slowness(now)) }
        var draw = random.nextDouble() * weights.sum()
        val index = weights.indexOfFirst {
            draw -= it
            draw <= 0
        }
        return targets[index.coerceAtLeast(0)]
    }

    private fun relativeLoad(state: TargetState, now: ComparableTimeMark): Double {
        val slots = state.listed.slots.coerceAtLeast(1)
        return state.presentRunning(now).toDouble() / slots +
            state.health.failureShare * FAILURE_LOAD
    }

    /** Expected time, in response times of a target of usual speed without other requests. */
    private fun expectedCost(state: TargetState, now: ComparableTimeMark): Double {
        val isRemote = dataCenter != null && state.listed.dataCenter != dataCenter
        val distance = if (isRemote) REMOTE_COST else 0.0
        val time = state.slowness(now) *
            (1 + state.queueShare(now) + relativeLoad(state, now) * LOAD_COST)
        return time * (1 + distance)
    }

    private fun TargetState.expectedWait(responseTime: Duration, now: ComparableTimeMark) =
        responseTime * queueShare(now) * slowness(now)

    private fun TargetState.expectedTime(responseTime: Duration, now: ComparableTimeMark) =
        responseTime * (1 + queueShare(now)) * slowness(now)

    private companion object {
        /** Relative load equivalent to a failure share of 1. */
        const val FAILURE_LOAD = 4.0

        /** Share of a response time by which a full target without a queue counts as slower. */
        const val LOAD_COST = 0.5

        /** A target in another data centre is used if it answers faster by more than this share. */
        const val REMOTE_COST = 0.05
    }
}
