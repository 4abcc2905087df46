package org.hibiscusproxy.admission

import kotlin.math.exp
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * What the targets of a service did in the last seconds. By the utilization law, an answer takes
 * the number of busy targets divided by the rate of answers. Counts of other forwarders that are
 * late do not distort these means, unlike the time of a single answer, in which a queue that this
 * forwarder does not know of looks like work.
 */
internal class ServiceThroughput(private var updatedAt: ComparableTimeMark) {
    private var answers = 0.0
    private var prompts = 0.0
    private var promptTokens = 0.0
    private var prefillTokens = 0.0
    private var prefillSeconds = 0.0
    private var observedAt = updatedAt
    private var observedSeconds = 0.0
    private var busySeconds = 0.0

    /** Records that [busyTargets] were busy since the last call. */
    fun observe(busyTargets: Double, now: ComparableTimeMark) {
        decay(now)
        // After a longer pause, the targets have not been as they are now all the time.
        val elapsed = minOf(now - observedAt, MAXIMUM_OBSERVATION).toDouble(DurationUnit.SECONDS)
        observedAt = now
        observedSeconds += elapsed
        busySeconds += elapsed * busyTargets
    }

    /** Records an answer of a target at full speed to this forwarder. */
    fun recordAnswer(now: ComparableTimeMark) {
        decay(now)
        answers += 1
    }

    /** Records that a prompt was sent to an engine that has [uncachedTokens] of it to read. */
    fun recordPrompt(uncachedTokens: Long, now: ComparableTimeMark) {
        decay(now)
        prompts += 1
        promptTokens += uncachedTokens
    }

    /** Records that an engine read [tokens], those of prompts ahead included, in [elapsed]. */
    fun recordPrefill(tokens: Long, elapsed: Duration, now: ComparableTimeMark) {
        if (tokens < MINIMUM_PREFILL_TOKENS) return
        decay(now)
        prefillTokens += tokens
        prefillSeconds += elapsed.toDouble(DurationUnit.SECONDS)
    }

    /** Answers a second to this forwarder. */
    fun answersPerSecond(now: ComparableTimeMark): Double {
        decay(now)
        return answers / observedSeconds.coerceAtLeast(MINIMUM_SECONDS)
    }

    /** Mean number of busy targets. */
    fun busyTargets(now: ComparableTimeMark): Double {
        decay(now)
        return busySeconds / observedSeconds.coerceAtLeast(MINIMUM_SECONDS)
    }

    /** Time that an engine reads for a mean request, in seconds; 0 if unknown. */
    fun prefillSeconds(now: ComparableTimeMark): Double {
        decay(now)
        if (prompts <= 0 || prefillTokens <= 0) return 0.0
        return promptTokens / prompts * (prefillSeconds / prefillTokens)
    }

    private fun decay(now: ComparableTimeMark) {
        val factor = exp(-((now - updatedAt) / AVERAGING_TIME))
        updatedAt = now
        answers *= factor
        prompts *= factor
        promptTokens *= factor
        prefillTokens *= factor
        prefillSeconds *= factor
        observedSeconds *= factor
        busySeconds *= factor
    }

    private companion object {
        /** Several of the spells of about 0.6 s in which a target works more slowly. */
        val AVERAGING_TIME = 3.seconds
        val MAXIMUM_OBSERVATION = 1.seconds

        const val MINIMUM_SECONDS = 0.1

        /** Shorter prompts measure the engine's step time instead of its prefill speed. */
        const val MINIMUM_PREFILL_TOKENS = 1_000L
    }
}
