package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.DurationUnit

/**
 * Limits the requests that this forwarder sends to a cold target to its share of the rate that the
 * target sustains. The token bucket holds at most one token and starts empty, so forwarders that
 * discover the target at the same time do not all send to it at once.
 */
internal class ColdRateLimiter(since: ComparableTimeMark) {
    private var tokens = 0.0
    private var refilledAt = since

    /** Whether a request may be sent now at [ratePerSecond]. */
    fun isAvailable(ratePerSecond: Double, now: ComparableTimeMark): Boolean {
        refill(ratePerSecond, now)
        return tokens >= 1
    }

    /** Consumes one token. */
    fun take() {
        tokens -= 1
    }

    private fun refill(ratePerSecond: Double, now: ComparableTimeMark) {
        val seconds = (now - refilledAt).toDouble(DurationUnit.SECONDS)
        refilledAt = now
        tokens = (tokens + seconds * ratePerSecond).coerceAtMost(1.0)
    }

    companion object {
        /** Half of the sustained rate, because forwarders that lag or restart overlap. */
        const val RATE_SHARE = 0.5
    }
}
