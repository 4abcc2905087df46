package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Incarnation

/**
 * Translates times on the clock of a controller into times of this process. The difference of the
 * clocks is taken from the message that spent the least time on its way, so that a message that was
 * delayed, or that waited while this process was stopped, is not taken for a later one. Belongs to
 * one connection. Not thread-safe.
 *
 * @property incarnation run of the controller's process, with which its clock starts
 */
class ControllerClock(
    val controller: ProcessName,
    val incarnation: Incarnation,
    private val time: TimeSource.WithComparableMarks,
) {
    private var start: ComparableTimeMark? = null
    private var recordedAt: ComparableTimeMark = time.markNow()

    /** Records that a message has arrived that was sent when the clock showed [sentAt]. */
    fun record(sentAt: Duration) {
        val now = time.markNow()
        val latest = now - sentAt
        start = start?.let { minOf(latest, it + (now - recordedAt) * MAXIMUM_DRIFT) } ?: latest
        recordedAt = now
    }

    /** Returns when the clock showed [reading], late by the time on the way of the fastest message. */
    fun at(reading: Duration): ComparableTimeMark = (start ?: time.markNow()) + reading

    private companion object {
        /** Difference in speed of two clocks; those of computers differ by less than a tenth of it. */
        const val MAXIMUM_DRIFT = 0.001
    }
}
