package org.hibiscusproxy.admission

import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Estimates how long a new attempt would wait from the smoothed time that requests run: with
 * `limit` places one becomes free every `runTime / limit`. Refusals carry it as retry-after time.
 */
internal class WaitEstimate {
    private var runTime: Duration = INITIAL_RUN_TIME

    /** A request ran for [duration]. */
    fun ran(duration: Duration) {
        runTime += (duration - runTime) * WEIGHT
    }

    /** Wait behind [ahead] attempts at a target that runs [limit] at once. */
    fun behind(ahead: Int, limit: Int): Duration =
        (runTime * (ahead + 1) / max(1, limit)).coerceIn(SHORTEST, LONGEST)

    private companion object {
        const val WEIGHT = 0.1
        val INITIAL_RUN_TIME = 2.seconds
        val SHORTEST = 50.milliseconds
        val LONGEST = 60.seconds
    }
}
