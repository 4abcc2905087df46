package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.DurationUnit

/**
 * This entry's share of the requests that a cold target can sustain: a token bucket that holds one token
 * at most and starts empty, so that entries that find the target at the same moment do not send to
 * it together.
 */
internal class ColdAllowance(since: ComparableTimeMark) {
    private var tokens = 0.0
    private var filledAt = since

    /** Whether a request may be sent now at [ratePerSecond]. */
    fun isAvailable(ratePerSecond: Double, now: ComparableTimeMark): Boolean {
        fill(ratePerSecond, now)
        return tokens >= 1
    }

    /** Uses the allowance for one request. */
    fun take() {
        tokens -= 1
    }

    private fun fill(ratePerSecond: Double, now: ComparableTimeMark) {
        val seconds = (now - filledAt).toDouble(DurationUnit.SECONDS)
        filledAt = now
        tokens = (tokens + seconds * ratePerSecond).coerceAtMost(1.0)
    }

    companion object {
        /** Half of what the target can sustain, since late or restarted entries overlap. */
        const val USED_SHARE = 0.5
    }
}
