package org.hibiscusproxy.forwarding

import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/**
 * Speed of one target relative to the others of its service, learned from answer times. Each sample
 * is an answer time divided by the time that is expected of a target of usual speed with the same
 * queue. Logarithms are averaged, so that a few very slow answers do not decide. The factor stays 1
 * until the difference is clearly larger than the variation of the samples explains.
 */
internal class LearnedSpeed {
    private var samples = 0.0
    private var mean = 0.0
    private var variance = 0.0

    /** Factor by which work takes longer than at the other targets. */
    var factor = 1.0
        private set

    /** Records an answer that took [ratio] times as long as expected. */
    fun record(ratio: Double) {
        if (ratio <= 0 || !ratio.isFinite()) return
        val value = ln(ratio)
        samples = minOf(samples + 1, MAXIMUM_SAMPLES)
        val weight = 1 / samples
        val difference = value - mean
        mean += difference * weight
        variance += (difference * difference - variance) * weight
    }

    /** Compares this target with the [others] of its service. */
    fun update(others: List<LearnedSpeed>) {
        val known = others.filter { it !== this && it.samples >= MINIMUM_SAMPLES }
        factor = if (samples < MINIMUM_SAMPLES || known.isEmpty()) 1.0 else compare(known)
    }

    private fun compare(known: List<LearnedSpeed>): Double {
        val usual = known.map { it.mean }.sorted()[(known.size - 1) / 2]
        val ownError = variance / samples
        val error = ownError + known.sumOf { it.variance / it.samples } / (known.size * known.size)
        val difference = mean - usual
        val isClear = abs(difference) > maxOf(MINIMUM_DIFFERENCE, sqrt(error) * DEVIATIONS)
        return if (isClear) exp(difference).coerceIn(1 / MAXIMUM_FACTOR, MAXIMUM_FACTOR) else 1.0
    }

    private companion object {
        /** A slower target is told from others after about this many answers of each. */
        const val MINIMUM_SAMPLES = 30.0

        /** Older answers fade, so that a target that becomes slower or faster is noticed. */
        const val MAXIMUM_SAMPLES = 300.0

        /** Smaller differences (12 in 100) gain less than uneven placement costs. */
        const val MINIMUM_DIFFERENCE = 0.113

        /** At 4 standard errors a difference by chance is seen once in tens of thousands. */
        const val DEVIATIONS = 4.0

        const val MAXIMUM_FACTOR = 4.0
    }
}
