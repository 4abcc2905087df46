package org.hibiscusproxy.admission

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Fingerprint

/**
 * Counts, for each fingerprint, the distinct targets that were lost while it was in flight, and
 * refuses those that were in flight at two. A fingerprint of one loss is never refused, however
 * often that target is lost.
 *
 * Requests lost together are often sent again together, so bystanders can be in flight at two
 * losses as well. After a loss the suspects are the fingerprints in it with the highest count of
 * two or more. A single suspect is refused for [refusal]; several are refused for
 * [sharedRefusal] only, and the next loss tells them apart. A fingerprint that completes anywhere
 * is cleared.
 *
 * Memory is bounded by [capacity] fingerprints; the one with the oldest loss goes first.
 */
class CrashLedger(
    private val timeSource: TimeSource.WithComparableMarks,
    private val expiry: Duration = 10.minutes,
    private val refusal: Duration = 10.minutes,
    private val sharedRefusal: Duration = 30.seconds,
    private val capacity: Int = 4_096,
) {
    private val marks = LinkedHashMap<Fingerprint, HashMap<TargetName, ComparableTimeMark>>()
    private val refused = LinkedHashMap<Fingerprint, ComparableTimeMark>()

    /** Fingerprints with a mark at present. */
    val size: Int get() = marks.size

    /** [target] was lost with [inFlight] running at it. */
    fun crashed(target: TargetName, inFlight: Collection<Fingerprint>) {
        expire()
        val suspects = inFlight.toSet()
        for (fingerprint in suspects) {
            val targets = marks.remove(fingerprint) ?: HashMap()
            targets[target] = timeSource.markNow()
            marks[fingerprint] = targets
        }
        while (marks.size > capacity) marks.remove(marks.keys.first())
        val highest = suspects.maxOfOrNull { countOf(it) } ?: return
        if (highest < CRASHES_TO_REFUSE) return
        val strongest = suspects.filter { countOf(it) == highest }
        val end = timeSource.markNow() + if (strongest.size == 1) refusal else sharedRefusal
        for (fingerprint in strongest) {
            refused[fingerprint] = refused[fingerprint]?.let { maxOf(it, end) } ?: end
        }
    }

    /** A request with [fingerprint] was answered completely, so that it crashes nothing. */
    fun completed(fingerprint: Fingerprint) {
        marks.remove(fingerprint)
        refused.remove(fingerprint)
    }

    /** Refused fingerprints with the time left. */
    fun refusals(): Map<Fingerprint, Duration> {
        expire()
        return refused.mapValues { (_, end) -> -end.elapsedNow() }
    }

    /** Distinct targets lost with [fingerprint] in flight. */
    fun countOf(fingerprint: Fingerprint): Int = marks[fingerprint]?.size ?: 0

    private fun expire() {
        refused.values.removeIf { it.hasPassedNow() }
        val entries = marks.values.iterator()
        while (entries.hasNext()) {
            val targets = entries.next()
            targets.values.removeIf { it.elapsedNow() > expiry }
            if (targets.isEmpty()) entries.remove()
        }
    }

    private companion object {
        const val CRASHES_TO_REFUSE = 2
    }
}
