package org.hibiscusproxy.standins.engine

/**
 * Tells whether an engine is cold. Time and completed requests warm it up together. Not safe for
 * concurrent use.
 *
 * @param now monotonic time in nanoseconds
 */
class ColdStart(private val options: EngineOptions, private val now: () -> Long) {
    private var coldSinceNanoseconds = now()
    private var coldSeconds = options.coldSeconds
    private var completed = 0

    /** Whether more than the cold slots would be too much at present. */
    val isCold: Boolean get() = warmth() < 1.0

    /** Factor on the prefill time. */
    val slowdown: Double get() = if (isCold) options.coldSlowdown else 1.0

    /** A request was completed. */
    fun requestCompleted() {
        completed++
    }

    /** Makes the engine cold again for [seconds], or for its configured time when null. */
    fun restart(seconds: Double? = null) {
        coldSinceNanoseconds = now()
        coldSeconds = seconds ?: options.coldSeconds
        completed = 0
    }

    private fun warmth(): Double {
        if (coldSeconds <= 0.0) return 1.0
        val elapsedSeconds = (now() - coldSinceNanoseconds) / NANOSECONDS_PER_SECOND
        return elapsedSeconds / coldSeconds + completed.toDouble() / options.coldRequests
    }

    private companion object {
        const val NANOSECONDS_PER_SECOND = 1e9
    }
}
