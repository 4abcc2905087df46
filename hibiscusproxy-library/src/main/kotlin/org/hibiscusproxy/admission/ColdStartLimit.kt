package org.hibiscusproxy.admission

import kotlin.time.Duration

/**
 * Running requests that a target bears. It starts at [coldCapacity], grows by one for as many
 * first bytes as it allows at once while they come near the best time seen, and drops back when
 * the target is cold or lost.
 */
internal class ColdStartLimit(private val coldCapacity: Int, private val capacity: Int) {
    private var best: Duration? = null
    private var goodFirstBytes = 0

    /** Present limit. */
    var limit: Int = minOf(coldCapacity, capacity)
        private set

    /** A first byte came [delay] after the request was sent to the target. */
    fun firstByte(delay: Duration) {
        val reference = best?.let { minOf(it, delay) } ?: delay
        best = reference
        if (delay > reference * TOLERANCE) return
        goodFirstBytes++
        if (goodFirstBytes >= limit && limit < capacity) {
            limit++
            goodFirstBytes = 0
        }
    }

    /** The target is cold or was lost. */
    fun reset() {
        limit = minOf(coldCapacity, capacity)
        goodFirstBytes = 0
    }

    private companion object {
        const val TOLERANCE = 2.0
    }
}
