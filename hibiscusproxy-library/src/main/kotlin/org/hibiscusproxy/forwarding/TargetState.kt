package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What one entry knows of one target. */
internal class TargetState(
    var listed: DiscoveredTarget,
    now: ComparableTimeMark,
    memoryTokens: Long,
) {
    val health = TargetHealth()
    val memory = PrefixMemory(memoryTokens)
    private val coldAllowance = ColdAllowance(now)
    private var coldUntil: ComparableTimeMark = now

    /** Requests of this entry in progress at the target. */
    var ownRunning = 0

    /** Prompt tokens that this entry sent and whose first answer has not come. */
    var ownPendingTokens = 0L

    /** The same of all other entries, as last reported. */
    var othersRunning = 0
    var othersPendingTokens = 0L

    val running: Int get() = ownRunning + othersRunning
    val pendingTokens: Long get() = ownPendingTokens + othersPendingTokens

    private val addedAt = now

    /** Whether other entries may still remember an engine that held this one's prompts before. */
    fun isNew(now: ComparableTimeMark): Boolean = now - addedAt < NEW_TIME

    init {
        becomeCold(listed.coldMilliseconds.milliseconds, now)
    }

    fun becomeCold(remaining: Duration, now: ComparableTimeMark) {
        if (remaining.isPositive()) coldUntil = maxOf(coldUntil, now + remaining)
    }

    fun isCold(now: ComparableTimeMark): Boolean = now < coldUntil

    fun coldTime(now: ComparableTimeMark): Duration = maxOf(coldUntil - now, Duration.ZERO)

    fun hasColdAllowance(ratePerSecond: Double, now: ComparableTimeMark): Boolean =
        coldAllowance.isAvailable(ratePerSecond, now)

    fun takeColdAllowance() = coldAllowance.take()

    /** Whether [next] is the same start of the same target. */
    fun isSameStart(next: DiscoveredTarget): Boolean = next.service == listed.service &&
        next.address == listed.address &&
        (
            next.startedAt == null || listed.startedAt == null ||
                next.startedAt == listed.startedAt
            )

    private companion object {
        /** Most prompts that are in use have come again by then. */
        val NEW_TIME = 20.seconds
    }
}
