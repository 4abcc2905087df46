package org.hibiscusproxy.placement

import kotlin.math.min

/**
 * Token bucket that limits an entry's refused probes to a share of its requests. In a saturated
 * fleet every probe is refused; requests then queue immediately instead of probing several targets
 * without success.
 *
 * @property share average number of refused probes allowed per request
 * @property burst bucket capacity, and the initial number of tokens
 */
class ProbeBudget(private val share: Double = 1.5, private val burst: Double = 100.0) {
    private var tokens = burst

    init {
        require(share >= 0) { "share must not be negative: $share" }
        require(burst >= 1) { "burst must be at least 1: $burst" }
    }

    /** Records a request and returns the number of probes it may send, at most [maximum]. */
    @Synchronized
    fun requestStarted(maximum: Int = DEFAULT_MAXIMUM_PROBES): Int {
        tokens = min(burst, tokens + share)
        return min(maximum, tokens.toInt())
    }

    /** Records a refused probe. */
    @Synchronized
    fun probeRefused() {
        if (tokens >= 1) tokens -= 1
    }

    private companion object {
        const val DEFAULT_MAXIMUM_PROBES = 3
    }
}
