package org.hibiscusproxy.placement

import kotlin.math.min

/**
 * Limits an entry's refused probes to a share of its requests. In a saturated fleet every probe
 * is refused; requests then go to a queue at once instead of asking several targets in vain.
 *
 * @property share refused probes allowed for each request on average
 * @property burst refused probes that can be saved up
 */
class ProbeBudget(private val share: Double = 1.5, private val burst: Double = 100.0) {
    private var tokens = burst

    init {
        require(share >= 0) { "share must not be negative: $share" }
        require(burst >= 1) { "burst must be at least 1: $burst" }
    }

    /** Counts a request and returns how many probes it may make, at most [maximum]. */
    @Synchronized
    fun requestStarted(maximum: Int = DEFAULT_MAXIMUM): Int {
        tokens = min(burst, tokens + share)
        return min(maximum, tokens.toInt())
    }

    /** A probe was refused. */
    @Synchronized
    fun probeRefused() {
        if (tokens >= 1) tokens -= 1
    }

    private companion object {
        const val DEFAULT_MAXIMUM = 3
    }
}
