package org.hibiscusproxy.rollout

import kotlin.math.sqrt

/** Bounds of the share of a population from the share of a sample, by Wilson's score interval. */
internal object Wilson {
    /** Lower bound at [deviations] standard deviations for [share] of a sample of [size]. */
    fun lower(share: Double, size: Double, deviations: Double): Double =
        bound(share, size, deviations, -1)

    /** Upper bound at [deviations] standard deviations for [share] of a sample of [size]. */
    fun upper(share: Double, size: Double, deviations: Double): Double =
        bound(share, size, deviations, 1)

    private fun bound(share: Double, size: Double, deviations: Double, sign: Int): Double {
        if (size <= 0) return if (sign > 0) 1.0 else 0.0
        val square = deviations * deviations / size
        val width = deviations * sqrt(share * (1 - share) / size + square / size / 4)
        return (share + square / 2 + sign * width) / (1 + square)
    }
}
