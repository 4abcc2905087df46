package org.hibiscusproxy.forwarding

import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Estimates a quantile of recent latencies from a histogram whose counts fade. */
internal class LatencyQuantile(private val quantile: Double) {
    private val counts = DoubleArray(CLASSES)
    private var total = 0.0
    private var samples = 0

    /** Upper bound of the class that holds the quantile; null while there are few samples. */
    val value: Duration?
        get() {
            if (samples < MINIMUM_SAMPLES) return null
            var below = 0.0
            val index = counts.indices.first { index ->
                below += counts[index]
                below >= total * quantile || index == counts.lastIndex
            }
            return GROWTH.pow(index).milliseconds
        }

    fun record(latency: Duration) {
        counts[classOf(latency)] += 1.0
        total += 1
        samples += 1
        if (total > FADING_TOTAL) fade()
    }

    private fun fade() {
        for (index in counts.indices) counts[index] /= 2
        total /= 2
    }

    private fun classOf(latency: Duration): Int {
        val milliseconds = latency.toDouble(DurationUnit.MILLISECONDS).coerceAtLeast(1.0)
        return (ln(milliseconds) / ln(GROWTH)).toInt().plus(1).coerceAtMost(counts.lastIndex)
    }

    private companion object {
        /** Classes differ by a fifth, up to about a minute. */
        const val GROWTH = 1.2
        const val CLASSES = 62

        /** A quantile of 0.95 needs some samples above it. */
        const val MINIMUM_SAMPLES = 40

        /** Old latencies fade within a few hundred requests. */
        const val FADING_TOTAL = 300.0
    }
}
