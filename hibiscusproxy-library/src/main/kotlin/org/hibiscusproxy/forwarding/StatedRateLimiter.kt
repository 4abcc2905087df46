package org.hibiscusproxy.forwarding

import kotlin.math.floor
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Limits the requests that this forwarder sends to a target to its share of the rate that the target
 * states for all forwarders together. Permits arise at regular intervals, the first one after a
 * random part of an interval, and lapse when they are not used. So many forwarders with a small
 * share each stay within the rate together, also when all of them have been idle before.
 */
internal class StatedRateLimiter(since: ComparableTimeMark, random: Random) {
    private val permits = ArrayDeque<ComparableTimeMark>()

    /** Part of the interval to the next permit that has passed, from 0 to 1. */
    private var progress = random.nextDouble()
    private var updatedAt = since

    /** Whether a request may be sent now, if this forwarder's share is [perSecond]. */
    fun isAvailable(perSecond: Double, now: ComparableTimeMark): Boolean {
        update(perSecond, now)
        return permits.isNotEmpty()
    }

    /** Uses one permit, if there is one. */
    fun take() {
        permits.removeFirstOrNull()
    }

    /** Time until the next permit arises, if this forwarder's share is [perSecond]. */
    fun timeToPermit(perSecond: Double): Duration =
        if (perSecond > 0) ((1 - progress) / perSecond).seconds else Duration.INFINITE

    private fun update(perSecond: Double, now: ComparableTimeMark) {
        val seconds = (now - updatedAt).toDouble(DurationUnit.SECONDS)
        updatedAt = now
        progress += seconds * perSecond
        val arisen = floor(progress)
        progress -= arisen
        // The latest permits arose one interval apart, the last one at the end of an interval.
        for (index in minOf(arisen.toInt(), MAXIMUM_PERMITS) - 1 downTo 0) {
            permits.addLast(now - ((progress + index) / perSecond).seconds)
        }
        while (permits.isNotEmpty() && now - permits.first() > PERMIT_LIFETIME) {
            permits.removeFirst()
        }
        while (permits.size > MAXIMUM_PERMITS) permits.removeFirst()
    }

    private companion object {
        /** Bounds what a forwarder sends at once after it was idle, as a time at its share. */
        val PERMIT_LIFETIME = 1.seconds
        const val MAXIMUM_PERMITS = 1_000
    }
}
