package org.hibiscusproxy.standins.engine

/**
 * Cold-start state of an engine. Elapsed time and completed requests both contribute to the
 * warm-up. Not thread-safe.
 *
 * @param now monotonic time in nanoseconds
 */
class ColdStart(private val options: EngineOptions, private val now: () -> Long) {
    private var coldSinceNanoseconds = now()
    private var coldSeconds = options.coldSeconds
    private var completed = 0

    /** Whether the engine can sustain only the cold slots at present. */
    val isCold: Boolean get() = warmUpProgress() < 1.0

    /** Factor by which the prefill time is multiplied. */
    val slowdown: Double get() = if (isCold) options.coldSlowdown else 1.0

    /** Records a completed request. */
    fun requestCompleted() {
        completed++
    }

    /** Restarts the warm-up with a length of [seconds], or the configured length when null. */
    fun restart(seconds: Double? = null) {
        coldSinceNanoseconds = now()
        coldSeconds = seconds ?: options.coldSeconds
        completed = 0
    }

    private fun warmUpProgress(): Double {
        if (coldSeconds <= 0.0) return 1.0
        val elapsedSeconds = (now() - coldSinceNanoseconds) / NANOSECONDS_PER_SECOND
        return elapsedSeconds / coldSeconds + completed.toDouble() / options.coldRequests
    }

    private companion object {
        const val NANOSECONDS_PER_SECOND = 1e9
    }
}
