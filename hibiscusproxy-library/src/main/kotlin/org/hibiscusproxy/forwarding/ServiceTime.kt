package org.hibiscusproxy.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Moving averages of a service's latency. */
internal class ServiceTime {
    /** Time of a whole answer; until the first one a guess that admits requests. */
    var whole: Duration = 50.milliseconds
        private set

    /**
     * Unknown until the first measurement, because a guess that is too low would send prompts away
     * from the engines that have them. The load bound limits what engines get until then.
     */
    private var tokensPerMillisecond: Double? = null

    fun whole(taken: Duration) {
        whole += (taken - whole) * SMOOTHING
    }

    fun firstPart(taken: Duration, tokens: Long) {
        if (tokens < MEASURED_TOKENS) return
        val speed = tokens / taken.toDouble(DurationUnit.MILLISECONDS).coerceAtLeast(1.0)
        val before = tokensPerMillisecond ?: speed
        val weight = if (speed > before) RISE else SMOOTHING
        tokensPerMillisecond = before + (speed - before) * weight
    }

    /** Expected time until an engine has read [tokens]; none while its speed is unknown. */
    fun readingTime(tokens: Long): Duration =
        tokensPerMillisecond?.let { (tokens / it).milliseconds } ?: Duration.ZERO

    private companion object {
        /** Weight of the newest of about ten measurements. */
        const val SMOOTHING = 0.1

        /** Weight of a faster reading, which shows what the engine can do when it is not busy. */
        const val RISE = 0.5

        /** Shorter prompts measure the engine's step, not its reading. */
        const val MEASURED_TOKENS = 1_000L
    }
}
