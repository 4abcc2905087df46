package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.TargetRate

/**
 * Changed rates of targets, queued until the other forwarders are notified. Without these
 * notifications, each forwarder would send requests to a target in need until it gets an answer
 * itself. Only the newest rate of a target is kept. Rates are sent in small batches.
 */
class StatedRateQueue(private val time: TimeSource.WithComparableMarks) {
    private val rates = LinkedHashMap<TargetName, Pair<Double?, ComparableTimeMark>>()

    val isEmpty: Boolean get() = rates.isEmpty()

    fun add(rate: TargetRate) {
        val statedAt = time.markNow() - rate.ageMilliseconds.milliseconds
        val known = rates[rate.target]
        if (known != null && known.second > statedAt) return
        if (known == null && rates.size == CAPACITY_RATES) rates.remove(rates.keys.first())
        rates[rate.target] = rate.perSecond to statedAt
    }

    /** Removes and returns the rates that were queued first, up to the size of one message. */
    fun take(): List<TargetRate> {
        val taken = rates.entries.take(RATES_PER_MESSAGE).map { (target, rate) ->
            TargetRate(target, rate.first, rate.second.elapsedNow().inWholeMilliseconds)
        }
        taken.forEach { rates.remove(it.target) }
        return taken
    }

    private companion object {
        const val CAPACITY_RATES = 256
        const val RATES_PER_MESSAGE = 8
    }
}
