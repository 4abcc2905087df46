package org.hibiscusproxy.standins.engine

/** What an overloaded cold engine does. */
enum class FallOver {
    /** Exits with code 70. */
    EXIT,

    /** Answers nothing for some seconds, then is cold again. */
    STALL,
}

/**
 * Behaviour of one stand-in engine.
 *
 * @property slots requests that generate tokens at once; further ones wait
 * @property maximumWaiting requests that may wait for a slot
 * @property coldSlots requests that a cold engine survives running at once
 * @property coldRequests completed requests that warm the engine without any time passing
 * @property coldSlowdown factor on the prefill time while cold
 * @property resumeMilliseconds time for which a stream without a reader goes on, so that its
 *   caller may resume it
 * @property eventGapShare share of cache events that are lost, 0 to 1
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
