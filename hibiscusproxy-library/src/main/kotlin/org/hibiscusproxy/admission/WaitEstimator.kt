package org.hibiscusproxy.admission

import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Estimates the wait of a new attempt from an exponential moving average of the run time. With
 * `limit` slots, one becomes free every `runTime / limit`. Refusals carry the estimate as their
 * retry-after time.
 */
internal class WaitEstimator {
    private var runTime: Duration = INITIAL_RUN_TIME

    /** Adds the run time of a completed request. */
    fun recordRunTime(duration: Duration) {
        runTime += (duration - runTime) * SMOOTHING_FACTOR
    }

    /** Returns the wait behind [ahead] queued attempts at a target with [limit] slots. */
    fun estimate(ahead: Int, limit: Int): Duration =
        (runTime * (ahead + 1) / max(1, limit)).coerceIn(MINIMUM_WAIT, MAXIMUM_WAIT)

    private companion object {
        const val SMOOTHING_FACTOR = 0.1
        val INITIAL_RUN_TIME = 2.seconds
        val MINIMUM_WAIT = 50.milliseconds
        val MAXIMUM_WAIT = 60.seconds
    }
}
