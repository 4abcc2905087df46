package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.hibiscusproxy.protocol.TargetList

/**
 * Puts the lists of targets of all controllers in the order in which their reads began. A list is
 * used only if it was read after the one in use, so that a controller that reads late, was stopped,
 * or can no longer read, does not bring back a target that has gone, is leaving or was replaced.
 *
 * Lists of one run of a controller are compared by its own clock. Lists of two are compared through
 * [ControllerClock] and have to be apart by more than the error of that comparison. A list that
 * states no times, as from an earlier build, counts as read when it arrives. Not thread-safe.
 */
class TargetListOrder(private val time: TimeSource.WithComparableMarks) {
    private var inUse: Position? = null

    /** Decides whether [list], which has arrived now from the controller of [clock], is used. */
    fun place(list: TargetList, clock: ControllerClock): ListPlacement {
        val times = list.times
        val position = if (times == null) {
            Position.Arrival(time.markNow())
        } else {
            clock.record(times.sentAtMilliseconds.milliseconds)
            Position.Read(clock, times.readAtMilliseconds.milliseconds)
        }
        val present = inUse
        val age = position.moment.elapsedNow()
        return when {
            present == null || position.isAfter(present) -> {
                inUse = position
                ListPlacement.Newer(age)
            }

            position.isSameReadAs(present) -> ListPlacement.Repeated(age)

            else -> ListPlacement.Older(age, present.moment.elapsedNow())
        }
    }

    private sealed class Position {
        /** When the read began, as far as it is known. */
        abstract val moment: ComparableTimeMark

        /** A list that states no times and arrived at [moment]. */
        class Arrival(override val moment: ComparableTimeMark) : Position()

        /** A list whose read began when [clock] showed [readAt]. */
        class Read(val clock: ControllerClock, val readAt: Duration) : Position() {
            override val moment: ComparableTimeMark get() = clock.at(readAt)

            fun isOfSameRun(other: Read): Boolean = clock.controller == other.clock.controller &&
                clock.incarnation == other.clock.incarnation
        }

        fun isAfter(other: Position): Boolean = when {
            this is Arrival -> moment >= other.moment
            this is Read && other is Read && isOfSameRun(other) -> readAt > other.readAt
            else -> moment - other.moment > COMPARISON_ERROR
        }

        fun isSameReadAs(other: Position): Boolean =
            this is Read && other is Read && isOfSameRun(other) && readAt == other.readAt
    }

    companion object {
        /** Exceeds the time that messages between data centres of one fleet are on their way. */
        val COMPARISON_ERROR = 100.milliseconds
    }
}

/** Where a list of targets belongs in the order of lists. */
sealed class ListPlacement {
    /** Time since the read of the list began. */
    abstract val age: Duration

    /** The list was read after the one in use and replaces it. */
    data class Newer(override val age: Duration) : ListPlacement()

    /** The list is the one in use. */
    data class Repeated(override val age: Duration) : ListPlacement()

    /**
     * The list may have been read before the one in use.
     *
     * @property ageInUse time since the read of the list in use began
     */
    data class Older(override val age: Duration, val ageInUse: Duration) : ListPlacement()
}
