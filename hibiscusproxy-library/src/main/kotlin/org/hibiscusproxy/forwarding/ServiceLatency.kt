package org.hibiscusproxy.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Exponential moving averages of a service's response time and prefill speed. */
internal class ServiceLatency {
    /** Average time of a complete response. Starts low enough to admit the first requests. */
    var responseTime: Duration = 50.milliseconds
        private set

    /** Starts low, so that engines of unknown speed are not overloaded. */
    private var tokensPerMillisecond = 20.0

    fun recordResponse(elapsed: Duration) {
        responseTime += (elapsed - responseTime) * SMOOTHING
    }

    fun recordFirstPart(elapsed: Duration, tokens: Long) {
        if (tokens < MINIMUM_SAMPLE_TOKENS) return
        val speed = tokens / elapsed.toDouble(DurationUnit.MILLISECONDS).coerceAtLeast(1.0)
        val weight = if (speed > tokensPerMillisecond) FASTER_SMOOTHING else SMOOTHING
        tokensPerMillisecond += (speed - tokensPerMillisecond) * weight
    }

    fun prefillTime(tokens: Long): Duration = (tokens / tokensPerMillisecond).milliseconds

    companion object {
        /** Averages over about ten samples. */
        private const val SMOOTHING = 0.1

        /** Faster samples weigh more: they show the engine's speed without queueing. */
        private const val FASTER_SMOOTHING = 0.5

        /** Shorter prompts measure the engine's step time instead of its prefill speed. */
        const val MINIMUM_SAMPLE_TOKENS = 1_000L
    }
}
