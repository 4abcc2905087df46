package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.hibiscusproxy.model.ServiceName

/**
 * Limits this forwarder's retries at each service, so that all forwarders together send at most
 * [ratio] times the callers' requests plus [slack] in any sliding [window], whichever of them
 * restart meanwhile and whatever their callers do. Requests and time earn retries, and unused ones
 * are kept up to a maximum. A process starts with none: an earlier one with its name may just have
 * used all that it had kept.
 *
 * @property ratio retries allowed per request
 * @property slack additional retries allowed for all forwarders together in a window
 */
class RetryLimiter(
    private val ratio: Double,
    private val slack: Double,
    private val window: Duration,
    private val time: TimeSource.WithComparableMarks,
) {
    private val allowances = HashMap<ServiceName, Allowance>()
    private val startedAt = time.markNow()

    /** Records a caller's request for [service]. */
    fun recordRequest(service: ServiceName) = allowance(service).recordRequest()

    /**
     * Takes one retry at [service] if the limit allows it with [forwarders] sharing the slack. While
     * their number is unknown, there are only the retries that requests earn.
     */
    fun tryTake(service: ServiceName, forwarders: Int?): Boolean =
        allowance(service).tryTake(if (forwarders == null) 0.0 else slack / forwarders)

    private fun allowance(service: ServiceName) = allowances.getOrPut(service) { Allowance() }

    private inner class Allowance {
        private val requests = ArrayDeque<ComparableTimeMark>()
        private var retries = 0.0
        private var paidUntil = startedAt

        fun recordRequest() {
            requests.addLast(time.markNow())
            forgetOldRequests()
            retries += ratio * EARNED_SHARE
        }

        fun tryTake(slackShare: Double): Boolean {
            forgetOldRequests()
            val kept = ratio * KEPT_SHARE * requests.size + slackShare * KEPT_SLACK
            val earned = slackShare * EARNED_SLACK * (paidUntil.elapsedNow() / window)
            paidUntil = time.markNow()
            retries = minOf(retries + earned, kept)
            if (retries < 1) return false
            retries -= 1
            return true
        }

        private fun forgetOldRequests() {
            val limit = time.markNow() - window
            while (requests.isNotEmpty() && requests.first() < limit) requests.removeFirst()
        }
    }

    /** The shares of the ratio and of the slack leave a tenth, for retries that arrive late. */
    private companion object {
        const val EARNED_SHARE = 0.7

        /** Share of the ratio for the requests of the last window. */
        const val KEPT_SHARE = 0.2
        const val EARNED_SLACK = 0.3
        const val KEPT_SLACK = 0.6
    }
}
