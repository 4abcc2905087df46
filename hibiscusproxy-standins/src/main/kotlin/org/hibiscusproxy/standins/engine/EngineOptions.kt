package org.hibiscusproxy.standins.engine

/** Behaviour of an engine that is overloaded while cold. */
enum class FallOver {
    /** The process exits with code 70. */
    EXIT,

    /** The engine stops responding for [EngineOptions.stallSeconds] and restarts its warm-up. */
    STALL,
}

/**
 * Configuration of a simulated engine.
 *
 * @property slots maximum number of running requests; further ones are queued
 * @property maximumWaiting maximum number of queued requests
 * @property coldSlots running requests that a cold engine can sustain
 * @property coldRequests completed requests that end the cold start regardless of elapsed time
 * @property coldSlowdown factor by which the prefill time is multiplied while cold
 * @property resumeMilliseconds time for which a stream continues after its client disconnects, so
 *   that the client can resume it
 * @property eventGapShare share of cache events that are dropped, 0 to 1
 */
data class EngineOptions(
    val name: String,
    val slots: Int = 16,
    val maximumWaiting: Int = 1_000,
    val tokenMilliseconds: Long = 20,
    val prefillMillisecondsPerThousandTokens: Double = 100.0,
    val cacheBlocks: Int = 4_096,
    val reportLagMilliseconds: Long = 0,
    val coldSeconds: Double = 0.0,
    val coldSlots: Int = 2,
    val coldRequests: Int = 20,
    val coldSlowdown: Double = 2.0,
    val fallOver: FallOver = FallOver.EXIT,
    val stallSeconds: Double = 5.0,
    val checkFencing: Boolean = true,
    val resumeMilliseconds: Long = 0,
    val eventLagMilliseconds: Long = 200,
    val eventGapShare: Double = 0.02,
    val seed: Long = 1,
) {
    init {
        require(slots > 0) { "slots must be positive: $slots" }
        require(tokenMilliseconds > 0) { "token time must be positive: $tokenMilliseconds" }
        require(cacheBlocks >= 0) { "cache blocks must not be negative: $cacheBlocks" }
        require(eventGapShare in 0.0..1.0) { "gap share must be in 0..1: $eventGapShare" }
        require(coldRequests > 0) { "cold requests must be positive: $coldRequests" }
    }
}
