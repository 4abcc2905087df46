package org.hibiscusproxy.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Moving averages of a service's latency. */
internal class ServiceTime {
    /** Time of a whole answer; until the first one a guess that admits requests. */
    var whole: Duration = 50.milliseconds
        private set

    /** Starts low, so that engines of unknown speed are not overloaded. */
    private var tokensPerMillisecond = 20.0

    fun whole(taken: Duration) {
        whole += (taken - whole) * SMOOTHING
    }

    fun firstPart(taken: Duration, tokens: Long) {
        if (tokens < MEASURED_TOKENS) return
        val speed = tokens / taken.toDouble(DurationUnit.MILLISECONDS).coerceAtLeast(1.0)
        val weight = if (speed > tokensPerMillisecond) RISE else SMOOTHING
        tokensPerMillisecond += (speed - tokensPerMillisecond) * weight
    }

    fun readingTime(tokens: Long): Duration = (tokens / tokensPerMillisecond).milliseconds

    private companion object {
        /** Weight of the newest of about ten measurements. */
        const val SMOOTHING = 0.1

        /** Weight of a faster reading, which shows what the engine can do when it is not busy. */
        const val RISE = 0.5

        /** Shorter prompts measure the engine's step, not its reading. */
        const val MEASURED_TOKENS = 1_000L
    }
}
