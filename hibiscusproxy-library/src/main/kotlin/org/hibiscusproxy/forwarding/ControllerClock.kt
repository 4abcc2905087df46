package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Incarnation

/**
 * Translates times on the clock of a controller into times of this process. The difference of the
 * clocks is taken from the message that spent the least time on its way, of those sent in the last
 * [WINDOW] of the controller's clock. A message that was delayed, or that waited while this process
 * was stopped, is therefore not taken for a later one. Belongs to one connection. Not thread-safe.
 *
 * @property incarnation run of the controller's process, with which its clock starts
 */
class ControllerClock(
    val controller: ProcessName,
    val incarnation: Incarnation,
    private val time: TimeSource.WithComparableMarks,
) {
    /** A message sent at [sentAt]; if it took no time, the clock started at [start]. */
    private class Sample(val sentAt: Duration, val start: ComparableTimeMark)

    /** In the order of arrival, without those that a later one undercuts; the first is the fastest. */
    private val samples = ArrayDeque<Sample>()

    /** Records that a message has arrived that was sent when the clock showed [sentAt]. */
    fun record(sentAt: Duration) {
        val start = time.markNow() - sentAt
        while (samples.isNotEmpty() && samples.last().start >= start) samples.removeLast()
        samples.addLast(Sample(sentAt, start))
        while (samples.first().sentAt < sentAt - WINDOW) samples.removeFirst()
    }

    /**
     * Returns when the clock showed [reading], late by the time on the way of the fastest message. At
     * least one message must have been recorded.
     */
    fun at(reading: Duration): ComparableTimeMark {
        val fastest =
            checkNotNull(samples.firstOrNull()) { "no message of $controller is recorded" }
        return fastest.start + reading
    }

    companion object {
        /** Clocks drift apart by some milliseconds in this time, far less than lists are apart. */
        val WINDOW = 30.seconds
    }
}
