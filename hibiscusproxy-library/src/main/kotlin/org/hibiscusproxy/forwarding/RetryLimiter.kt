package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.hibiscusproxy.model.ServiceName

/**
 * Bounds this entry's repeats at a service: a share of its own requests in the last window and its
 * part of a slack that all entries divide among themselves.
 *
 * @property ratio repeats allowed per request
 * @property slack repeats allowed beside, over all entries
 */
class RetryLimiter(
    private val ratio: Double,
    private val slack: Int,
    private val window: Duration,
    private val time: TimeSource.WithComparableMarks,
) {
    private val requests = HashMap<ServiceName, ArrayDeque<ComparableTimeMark>>()
    private val repeats = HashMap<ServiceName, ArrayDeque<ComparableTimeMark>>()

    /** Counts a request of a caller for [service]. */
    fun recordRequest(service: ServiceName) {
        recent(requests, service).addLast(time.markNow())
    }

    /** Takes one repeat at [service] if it is allowed among [entries] entries. */
    fun tryTake(service: ServiceName, entries: Int): Boolean {
        val used = recent(repeats, service)
        val share = ratio * USED_SHARE * recent(requests, service).size
        val allowed = share + USED_SHARE * slack / entries.coerceAtLeast(1)
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
        /** Leaves room for repeats that another entry made under an older count of entries. */
        const val USED_SHARE = 0.8
    }
}
