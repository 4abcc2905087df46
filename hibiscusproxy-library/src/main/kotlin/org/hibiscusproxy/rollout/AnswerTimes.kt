package org.hibiscusproxy.rollout

import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Classes of answer times for histograms. Each class is wider than the one before by [GROWTH]. */
object AnswerTimes {
    /** Number of classes; the last one has no upper bound. */
    const val COUNT = 24

    /** Distinguishes a time that is several times longer, in few classes. */
    internal const val GROWTH = 1.5

    private const val FIRST_UPPER_BOUND_MILLISECONDS = 1.0

    /** Returns the class of [time], from 0 to [COUNT] - 1. */
    fun classOf(time: Duration): Int {
        val ratio = time.toDouble(DurationUnit.MILLISECONDS) / FIRST_UPPER_BOUND_MILLISECONDS
        if (ratio <= 1.0) return 0
        return (ln(ratio) / ln(GROWTH)).toInt().plus(1).coerceAtMost(COUNT - 1)
    }
}
