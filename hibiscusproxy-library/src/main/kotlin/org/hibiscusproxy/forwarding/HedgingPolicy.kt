package org.hibiscusproxy.forwarding

import kotlin.time.Duration
import org.hibiscusproxy.model.ServiceName

/**
 * Decides when a request that may be repeated gets a second attempt at another target because its
 * answer is slow, and limits the extra work. Not thread-safe.
 *
 * @param share second attempts allowed as a ratio to the repeatable requests of a service; 0
 * switches them off
 */
class HedgingPolicy(private val share: Double) {
    private val latencies = HashMap<String, LatencyQuantile>()
    private val budgets = HashMap<ServiceName, Double>()

    /** Records a repeatable request for [service]. */
    fun recordRequest(service: ServiceName) {
        if (share <= 0) return
        budgets[service] = minOf((budgets[service] ?: 0.0) + share, MAXIMUM_SAVED_ATTEMPTS)
    }

    /** Records that an answer on [route] began [elapsed] after its request was sent. */
    fun recordFirstPart(route: String, elapsed: Duration) {
        if (share <= 0) return
        latencies.getOrPut(route) { LatencyQuantile(SLOW_QUANTILE) }.record(elapsed)
    }

    /** Time without an answer after which a request on [route] is slow; null if it is not known. */
    fun delay(route: String): Duration? = latencies[route]?.value

    /** Takes a second attempt at [service] if the limit allows one. */
    fun tryTake(service: ServiceName): Boolean {
        val saved = budgets[service] ?: 0.0
        if (saved < 1) return false
        budgets[service] = saved - 1
        return true
    }

    private companion object {
        /** The slowest answers dominate the tail; an earlier second attempt costs more work. */
        const val SLOW_QUANTILE = 0.95

        /** Bounds a burst of second attempts when many answers become slow at the same moment. */
        const val MAXIMUM_SAVED_ATTEMPTS = 3.0
    }
}
