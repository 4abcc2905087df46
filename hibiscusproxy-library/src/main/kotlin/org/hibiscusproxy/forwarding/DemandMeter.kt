package org.hibiscusproxy.forwarding

import kotlin.math.exp
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds

/** Moving average of the requests a second for a service, those that are refused included. */
internal class DemandMeter(private var updatedAt: ComparableTimeMark) {
    private var weight = 0.0

    fun record(now: ComparableTimeMark) {
        decay(now)
        weight += 1
    }

    fun perSecond(now: ComparableTimeMark): Double {
        decay(now)
        return weight / AVERAGING_TIME.inWholeSeconds
    }

    private fun decay(now: ComparableTimeMark) {
        weight *= exp(-((now - updatedAt) / AVERAGING_TIME))
        updatedAt = now
    }

    private companion object {
        val AVERAGING_TIME = 2.seconds
    }
}
