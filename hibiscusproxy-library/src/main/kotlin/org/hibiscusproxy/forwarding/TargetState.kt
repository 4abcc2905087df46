package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** State of one target as known to this forwarder. */
internal class TargetState(
    var listed: DiscoveredTarget,
    now: ComparableTimeMark,
    memoryTokens: Long,
    val notice: TargetNotice,
    random: Random,
) {
    val health = TargetHealth()
    val prefixCache = PrefixCacheEstimate(memoryTokens)
    private val coldRateLimiter = ColdRateLimiter(now)
    private val statedRateLimiter = StatedRateLimiter(now, random)
    private var coldUntil: ComparableTimeMark = now

    /** Requests of this forwarder that are in progress at the target. */
    var ownRunning = 0

    /** Prompt tokens of this forwarder's requests whose first response part has not arrived. */
    var ownPendingTokens = 0L

    /** Load of all other forwarders, as last reported. */
    var othersRunning = 0
    var othersPendingTokens = 0L

    val running: Int get() = ownRunning + othersRunning
    val pendingTokens: Long get() = ownPendingTokens + othersPendingTokens

    val load = TargetLoad()
    val speed = LearnedSpeed()

    /** Whether the target states how fast it is, or is known to differ from others of its service. */
    val hasOwnSpeed: Boolean get() = load.statesSlowness || speed.factor != 1.0

    /** Requests that the target holds at [now], by its statement and the reports of the others. */
    fun presentRunning(now: ComparableTimeMark): Int = load.present(ownRunning, othersRunning, now)

    /** Factor by which work takes longer at [now] than is usual for the service. */
    fun slowness(now: ComparableTimeMark): Double = load.slowness(speed.factor, now)

    /** Requests that a new one at [now] would have to wait for, as a multiple of the slots. */
    fun queueShare(now: ComparableTimeMark): Double {
        val slots = listed.slots.coerceAtLeast(1)
        return (presentRunning(now) - slots + 1).coerceAtLeast(0).toDouble() / slots
    }

    /** Requests a second that the target takes from all forwarders; null if it states none. */
    var statedRate: Double? = null
        private set
    private var rateStatedAt: ComparableTimeMark? = null

    private val addedAt = now

    /** Whether prompts placed here may still be cached by the engine that had them before. */
    fun isNew(now: ComparableTimeMark): Boolean = now - addedAt < NEW_DURATION

    init {
        markCold(listed.coldMilliseconds.milliseconds, now)
    }

    /** Whether the target takes new requests from this forwarder. */
    fun acceptance(now: ComparableTimeMark): Acceptance =
        if (listed.isLeaving) Acceptance.Leaving else notice.acceptance(now)

    fun markCold(remaining: Duration, now: ComparableTimeMark) {
        if (remaining.isPositive()) coldUntil = maxOf(coldUntil, now + remaining)
    }

    fun isCold(now: ComparableTimeMark): Boolean = now < coldUntil

    fun remainingColdTime(now: ComparableTimeMark): Duration = maxOf(coldUntil - now, Duration.ZERO)

    fun canSendWhileCold(ratePerSecond: Double, now: ComparableTimeMark): Boolean =
        coldRateLimiter.isAvailable(ratePerSecond, now)

    fun takeColdToken() = coldRateLimiter.take()

    /** Records a rate stated at [at]; null if none is stated. The newest statement counts. */
    fun recordStatedRate(perSecond: Double?, at: ComparableTimeMark) {
        if (rateStatedAt.let { it != null && it > at }) return
        rateStatedAt = at
        statedRate = perSecond
    }

    /** Whether the stated rate allows a request, if [share] of it is this forwarder's. */
    fun canSendAtStatedRate(share: Double, now: ComparableTimeMark): Boolean =
        permitRate(share).let { it == null || statedRateLimiter.isAvailable(it, now) }

    /** Time until the stated rate allows a request; zero if no rate is stated. */
    fun timeToPermit(share: Double): Duration =
        permitRate(share)?.let(statedRateLimiter::timeToPermit) ?: Duration.ZERO

    fun takePermit() = statedRateLimiter.take()

    private fun permitRate(share: Double): Double? =
        statedRate?.let { maxOf(it, MINIMUM_RATE_PER_SECOND) * share }

    private companion object {
        /** A target that gets no request at all could never withdraw its rate. */
        const val MINIMUM_RATE_PER_SECOND = 0.2

        /** Most prompts in use recur within this time. */
        val NEW_DURATION = 20.seconds
    }
}
