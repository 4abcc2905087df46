package org.hibiscusproxy.retry

import kotlin.math.min

/**
 * Token bucket that keeps retries to a share of the first attempts. It needs no clock: a failing
 * fleet that gets no new requests gets no new retries either.
 *
 * @property share retries earned by each request
 * @property burst most retries that can be saved up, and the initial amount
 */
class RetryBudget(private val share: Double = 0.1, private val burst: Double = 20.0) {
    private var tokens = burst

    init {
        require(share >= 0) { "share must not be negative: $share" }
        require(burst >= 1) { "burst must be at least 1: $burst" }
    }

    /** Counts a caller's request. */
    @Synchronized
    fun requestStarted() {
        tokens = min(burst, tokens + share)
    }

    /** Takes one retry, or returns false when the budget is used up. */
    @Synchronized
    fun tryTake(): Boolean {
        if (tokens < 1) return false
        tokens -= 1
        return true
    }
}
