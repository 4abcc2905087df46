package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.hibiscusproxy.model.ServiceName

/**
 * Limits this forwarder's retries at each service within a sliding window. The limit is a ratio of
 * the forwarder's own requests plus its part of a constant that is divided among all forwarders.
 *
 * @property ratio retries allowed per request
 * @property slack additional retries allowed for all forwarders together
 */
class RetryLimiter(
    private val ratio: Double,
    private val slack: Double,
    private val window: Duration,
    private val time: TimeSource.WithComparableMarks,
) {
    private val requests = HashMap<ServiceName, ArrayDeque<ComparableTimeMark>>()
    private val retries = HashMap<ServiceName, ArrayDeque<ComparableTimeMark>>()

    /** Records a caller's request for [service]. */
    fun recordRequest(service: ServiceName) {
        recent(requests, service).addLast(time.markNow())
    }

    /** Takes one retry at [service] if the limit allows it with [forwarders] sharing it. */
    fun tryTake(service: ServiceName, forwarders: Int): Boolean {
        val used = recent(retries, service)
        val share = ratio * LIMIT_SHARE * recent(requests, service).size
        val allowed = share + LIMIT_SHARE * slack / forwarders.coerceAtLeast(1)
        if (used.size + 1 > allowed) return false
        used.addLast(time.markNow())
        return true
    }

    private fun recent(
        table: HashMap<ServiceName, ArrayDeque<ComparableTimeMark>>,
        service: ServiceName,
    ): ArrayDeque<ComparableTimeMark> {
        val marks = table.getOrPut(service) { ArrayDeque() }
        val limit = time.markNow() - window
        while (marks.isNotEmpty() && marks.first() < limit) marks.removeFirst()
        return marks
    }

    private companion object {
        /** Leaves room for retries that others made under an outdated count of forwarders. */
        const val LIMIT_SHARE = 0.8
    }
}
