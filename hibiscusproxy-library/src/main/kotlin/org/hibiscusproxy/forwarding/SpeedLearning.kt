package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * Time in which a target of usual speed is expected to answer an attempt.
 *
 * @property time time with the queue ahead of the attempt
 * @property statedSlowness slowness that the target stated when the attempt began
 */
internal class ExpectedTime(val time: Duration, val statedSlowness: Double)

/** Learns the speed of targets from the answer times of attempts. Not thread-safe. */
internal class SpeedLearning {
    private var recorded = 0

    /**
     * Returns the time expected of an attempt that begins at [state], before it is counted; null if
     * its time would say little about the speed of the target.
     *
     * @param uncachedTokens tokens that a model engine reads for the attempt; null at others
     */
    fun expectedTime(
        state: TargetState,
        latency: ServiceLatency,
        uncachedTokens: Long?,
        now: ComparableTimeMark,
    ): ExpectedTime? {
        val time = when {
            state.isCold(now) -> return null

            uncachedTokens == null -> latency.responseTime * (1 + state.queueShare(now))

            uncachedTokens < ServiceLatency.MINIMUM_SAMPLE_TOKENS -> return null

            else -> latency.prefillTime(state.pendingTokens + uncachedTokens)
        }
        return ExpectedTime(time, state.load.slowness(learned = 1.0, now))
    }

    /** Records that [attempt] was answered now, and compares its target with all of [pool]. */
    fun record(attempt: PlacedAttempt, pool: List<TargetState>) {
        val expected = attempt.expected ?: return
        val state = attempt.state ?: return
        if (!expected.time.isPositive()) return
        state.speed.record(
            attempt.startedAt.elapsedNow() / (expected.time * expected.statedSlowness),
        )
        recorded += 1
        if (recorded % UPDATE_INTERVAL_ANSWERS != 0) return
        val speeds = pool.map { it.speed }
        speeds.forEach { it.update(speeds) }
    }

    private companion object {
        /** Comparing targets costs more than recording an answer. */
        const val UPDATE_INTERVAL_ANSWERS = 16
    }
}
