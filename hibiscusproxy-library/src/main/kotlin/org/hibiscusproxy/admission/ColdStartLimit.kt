package org.hibiscusproxy.admission

import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Running requests that a target bears, between cold capacity and capacity. It is held at the cold
 * capacity until the target reports that it is warm, then grows by one for each round of first
 * bytes whose lower quartile stays near the best round's. Two rounds with a jump halve it; a
 * target that is cold or lost takes it back to the cold capacity at once.
 *
 * Lower quartiles of rounds are compared because single first bytes differ tenfold between prompts
 * that are cached and prompts that are not, while a cold target is slow for both. One round is not
 * enough to halve: a few uncached manuals in a row look the same.
 *
 * @property needsReport whether growth waits for the target's report; plain services have none
 */
internal class ColdStartLimit(
    private val coldCapacity: Int,
    private val capacity: Int,
    private val needsReport: Boolean = false,
) {
    private val round = ArrayList<Duration>()
    private var best: Duration? = null
    private var jumps = 0
    private var isWarm = !needsReport

    /** Present limit. */
    var limit: Int = minOf(coldCapacity, capacity)
        private set

    /** A first byte came [delay] after the request was sent to the target. */
    fun firstByte(delay: Duration) {
        if (!isWarm) return
        round += delay
        if (round.size < max(SHORTEST_ROUND, limit / 2)) return
        val quartile = round.sorted()[round.size / 4]
        round.clear()
        // Best drifts up slowly, or one lucky round would stop growth for good.
        val reference =
            maxOf(best?.let { minOf(it * DRIFT, quartile) } ?: quartile, SHORTEST_REFERENCE)
        best = reference
        jumps = if (quartile > reference * JUMP) jumps + 1 else 0
        when {
            quartile <= reference * NEAR -> limit = minOf(limit + 1, capacity)

            jumps >= ROUNDS_TO_HALVE -> {
                limit = max(minOf(coldCapacity, capacity), limit / 2)
                jumps = 0
            }
        }
    }

    /** The target reported whether it is warm. */
    fun reported(warm: Boolean) {
        if (warm) isWarm = true else fallBack()
    }

    /** The target was lost. It counts as cold until it reports. */
    fun fallBack() {
        limit = minOf(coldCapacity, capacity)
        round.clear()
        jumps = 0
        isWarm = !needsReport
    }

    private companion object {
        const val SHORTEST_ROUND = 4
        const val DRIFT = 1.05
        const val NEAR = 4.0
        const val JUMP = 10.0
        const val ROUNDS_TO_HALVE = 2
        val SHORTEST_REFERENCE = 100.milliseconds
    }
}
