package org.hibiscusproxy.control

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlinx.serialization.Serializable

/**
 * Instant of the fleet clock, the logical clock of the control state, in milliseconds. The clock
 * starts at 0 and advances only when a command is applied, to the time that the leader put into the
 * command, so all replicas agree on it. It never goes back and advances at most as fast as time;
 * deadlines and retention times can therefore expire late, but never early.
 */
@JvmInline
@Serializable
value class FleetInstant(val milliseconds: Long) : Comparable<FleetInstant> {
    override fun compareTo(other: FleetInstant): Int = milliseconds.compareTo(other.milliseconds)

    /** Returns the instant [duration] later. */
    operator fun plus(duration: Duration): FleetInstant =
        FleetInstant(milliseconds + duration.inWholeMilliseconds)

    override fun toString(): String = "${milliseconds}ms"

    companion object {
        /** Start of the clock. */
        val ZERO: FleetInstant = FleetInstant(0)
    }
}

/**
 * The leader's reading of the fleet clock: [base], the clock of the state when the leader saw it
 * advance at [seenAt] before it took over, plus the time elapsed since then.
 */
class LeaderClock(private val base: FleetInstant, private val seenAt: ComparableTimeMark) {
    /** Returns the fleet time at [now]. */
    fun at(now: ComparableTimeMark): FleetInstant =
        base + (now - seenAt).coerceAtLeast(Duration.ZERO)
}
