package org.hibiscusproxy.control

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlinx.serialization.Serializable

/**
 * Instant of the control state's own clock, in milliseconds. The clock starts at 0 and moves only
 * when a command is applied, to the time the leader put into it, so that all replicas agree on it.
 * It never goes back and stands still while there is no leader; deadlines and retention times can
 * thus be reached late, never early.
 */
@JvmInline
@Serializable
value class FleetInstant(val milliseconds: Long) : Comparable<FleetInstant> {
    override fun compareTo(other: FleetInstant): Int = milliseconds.compareTo(other.milliseconds)

    /** The instant [duration] later. */
    operator fun plus(duration: Duration): FleetInstant =
        FleetInstant(milliseconds + duration.inWholeMilliseconds)

    override fun toString(): String = "${milliseconds}ms"

    companion object {
        /** Start of the clock. */
        val ZERO: FleetInstant = FleetInstant(0)
    }
}

/**
 * The leader's reading of the fleet clock: the clock of the state that it took over at
 * [takenOverAt], plus the time that has passed since.
 */
class LeaderClock(private val base: FleetInstant, private val takenOverAt: ComparableTimeMark) {
    /** The fleet clock at [now]. */
    fun at(now: ComparableTimeMark): FleetInstant =
        base + (now - takenOverAt).coerceAtLeast(Duration.ZERO)
}
