package org.hibiscusproxy.retry

import kotlin.math.min

/**
 * Token bucket that limits retries to a share of the requests. Requests refill it instead of a
 * clock, so a failing fleet without new requests receives no new retries.
 *
 * @property share tokens added per request
 * @property burst bucket capacity, and the initial number of tokens
 */
class RetryBudget(private val share: Double = 0.1, private val burst: Double = 20.0) {
    private var tokens = burst

    init {
        require(share >= 0) { "share must not be negative: $share" }
        require(burst >= 1) { "burst must be at least 1: $burst" }
    }

    /** Records a caller's request. */
    @Synchronized
    fun requestStarted() {
        tokens = min(burst, tokens + share)
    }

    /** Takes one retry, or returns false if the budget is exhausted. */
    @Synchronized
    fun tryTake(): Boolean {
        if (tokens < 1) return false
        tokens -= 1
        return true
    }
}
