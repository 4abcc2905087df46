package org.hibiscusproxy.forwarding

import kotlin.math.exp
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Moving average of the requests a second for a service, those that are refused included. */
internal class DemandMeter(
    private var updatedAt: ComparableTimeMark,
    private val averagingTime: Duration = AVERAGING_TIME,
) {
    private var weight = 0.0

    fun record(now: ComparableTimeMark) {
        decay(now)
        weight += 1
    }

    fun perSecond(now: ComparableTimeMark): Double {
        decay(now)
        return weight / averagingTime.toDouble(DurationUnit.SECONDS)
    }

    private fun decay(now: ComparableTimeMark) {
        weight *= exp(-((now - updatedAt) / averagingTime))
        updatedAt = now
    }

    private companion object {
        val AVERAGING_TIME = 2.seconds
    }
}
