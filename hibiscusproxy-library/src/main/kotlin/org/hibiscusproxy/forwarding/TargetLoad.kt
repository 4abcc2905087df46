package org.hibiscusproxy.forwarding

import kotlin.math.exp
import kotlin.math.roundToInt
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Estimate of the present load and speed of one target by its newest statement. Without a stated
 * slowness, the reports of the other forwarders alone count and the target has its learned speed.
 */
internal class TargetLoad {
    private var statement: LoadStatement.Known? = null
    private var statedAt: ComparableTimeMark? = null
    private var statedOthers = 0

    /** Whether the newest statement says how fast the target is. */
    val statesSlowness: Boolean get() = statement?.slowness != null

    /**
     * Records what the target stated at [at]. An older statement than the known one is ignored.
     *
     * @param ownRunning requests of this forwarder at the target, which [stated] includes
     * @return whether the statement is the newest one
     */
    fun record(stated: LoadStatement.Known, at: ComparableTimeMark, ownRunning: Int): Boolean {
        if (statedAt.let { it != null && it >= at }) return false
        statement = stated
        statedAt = at
        statedOthers = (stated.total - ownRunning).coerceAtLeast(0)
        return true
    }

    /**
     * Requests that the target holds at [now], never fewer than [ownRunning].
     *
     * @param othersRunning requests of the other forwarders, as last reported
     */
    fun present(ownRunning: Int, othersRunning: Int, now: ComparableTimeMark): Int {
        if (!statesSlowness) return ownRunning + othersRunning
        val weight = weight(COUNT_LIFETIME, now)
        val others = statedOthers * weight + othersRunning * (1 - weight)
        return ownRunning + others.roundToInt()
    }

    /** Factor by which work takes longer at [now], if it takes [learned] times as long on average. */
    fun slowness(learned: Double, now: ComparableTimeMark): Double {
        val stated = statement?.slowness ?: return learned
        val weight = weight(SLOWNESS_LIFETIME, now)
        return learned * (stated * weight + (1 - weight))
    }

    /** The newest statement with its time, if it states the slowness. */
    fun newest(): Pair<LoadStatement.Known, ComparableTimeMark>? {
        val known = statement?.takeIf { it.slowness != null } ?: return null
        return statedAt?.let { known to it }
    }

    private fun weight(lifetime: Duration, now: ComparableTimeMark): Double {
        val age = statedAt?.let { now - it } ?: return 0.0
        return exp(-(age / lifetime).coerceAtLeast(0.0))
    }

    private companion object {
        /**
         * Spells of 0.6 s that take 15 in 100 of the time lose their correlation with this time
         * constant: 1 / (1 / 0.6 s + 1 / 3.4 s).
         */
        val SLOWNESS_LIFETIME = 510.milliseconds

        /** Mean age of the other forwarders' reports, which are 250 to 500 ms old. */
        val COUNT_LIFETIME = 375.milliseconds
    }
}
