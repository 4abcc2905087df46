package org.hibiscusproxy.admission

import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Adaptive concurrency limit of a target, between its cold capacity and its capacity. It stays at
 * the cold capacity until the target reports that it is warm. Then it grows by one for each round
 * of time-to-first-byte samples whose lower quartile stays close to that of the best round. Two
 * slow rounds in a row halve it, and it returns to the cold capacity as soon as the target is cold
 * or lost.
 *
 * Rounds are compared by their lower quartile, because the time to first byte differs tenfold
 * between cached and uncached prompts, while a cold target is slow for both. A single slow round
 * does not halve the limit: a few long uncached prompts in a row look the same.
 *
 * @property requiresWarmReport whether growth waits for a warm report; plain services send none
 */
internal class ColdStartLimit(
    private val coldCapacity: Int,
    private val capacity: Int,
    private val requiresWarmReport: Boolean = false,
) {
    private val round = ArrayList<Duration>()
    private var bestQuartile: Duration? = null
    private var slowRounds = 0
    private var isWarm = !requiresWarmReport

    /** Current limit on running requests. */
    var limit: Int = minOf(coldCapacity, capacity)
        private set

    /** Adds a sample: the first byte came [delay] after the attempt was admitted. */
    fun firstByte(delay: Duration) {
        if (!isWarm) return
        round += delay
        if (round.size < max(MINIMUM_ROUND_SAMPLES, limit / 2)) return
        val quartile = round.sorted()[round.size / 4]
        round.clear()
        // The reference drifts up slowly; otherwise one unusually fast round would stop all growth.
        val drifted = bestQuartile?.let { minOf(it * REFERENCE_DRIFT_RATIO, quartile) } ?: quartile
        val reference = maxOf(drifted, MINIMUM_REFERENCE)
        bestQuartile = reference
        slowRounds = if (quartile > reference * SLOW_RATIO) slowRounds + 1 else 0
        when {
            quartile <= reference * GROWTH_RATIO -> limit = minOf(limit + 1, capacity)

            slowRounds >= SLOW_ROUNDS_TO_HALVE -> {
                limit = max(minOf(coldCapacity, capacity), limit / 2)
                slowRounds = 0
            }
        }
    }

    /** Applies the target's report of whether it is warm. */
    fun applyReport(warm: Boolean) {
        if (warm) isWarm = true else reset()
    }

    /** Returns to the cold capacity; the target counts as cold until its next warm report. */
    fun reset() {
        limit = minOf(coldCapacity, capacity)
        round.clear()
        slowRounds = 0
        isWarm = !requiresWarmReport
    }

    private companion object {
        const val MINIMUM_ROUND_SAMPLES = 4
        const val REFERENCE_DRIFT_RATIO = 1.05
        const val GROWTH_RATIO = 4.0
        const val SLOW_RATIO = 10.0
        const val SLOW_ROUNDS_TO_HALVE = 2
        val MINIMUM_REFERENCE = 100.milliseconds
    }
}
