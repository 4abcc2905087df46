package org.hibiscusproxy.rollout

import kotlin.math.ln

/** Positions in histograms of answer times, as class numbers with fractions within a class. */
internal object TimeClasses {
    /** Number of classes between two times of which one is [ratio] times the other. */
    fun classesOf(ratio: Double): Double = ln(ratio) / ln(AnswerTimes.GROWTH)

    /** Median of [times], the counts by class; null if there are none. */
    fun median(times: List<Double>): Double? {
        val half = times.sum() / 2
        if (half <= 0) return null
        var below = 0.0
        times.forEachIndexed { index, count ->
            if (below + count >= half) return index + (half - below) / count
            below += count
        }
        return times.size.toDouble()
    }

    /** Number of [times] above [position]. */
    fun above(times: List<Double>, position: Double): Double = times
        .mapIndexed { index, count -> count * (index + 1 - position).coerceIn(0.0, 1.0) }
        .sum()
}
