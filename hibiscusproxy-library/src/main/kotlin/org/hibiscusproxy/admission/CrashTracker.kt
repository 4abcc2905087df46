package org.hibiscusproxy.admission

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Fingerprint

/**
 * Counts, for each fingerprint, the distinct targets that crashed while it was in flight, and
 * refuses those with two or more. Repeated crashes of one target count once and never cause a
 * refusal.
 *
 * Requests lost in the same crash are often retried together, so harmless ones can be in flight at
 * two crashes as well. After a crash, the suspects are the fingerprints in flight with the highest
 * count, if that is at least two. A single suspect is refused for [refusal]. Several are refused
 * for the shorter [sharedRefusal], after which the next crash narrows them down. A fingerprint that
 * completes on any target is cleared.
 *
 * At most [capacity] fingerprints are kept; the one with the least recent crash is evicted first.
 */
class CrashTracker(
    private val timeSource: TimeSource.WithComparableMarks,
    private val expiry: Duration = 10.minutes,
    private val refusal: Duration = 10.minutes,
    private val sharedRefusal: Duration = 30.seconds,
    private val capacity: Int = 4_096,
) {
    private val crashes = LinkedHashMap<Fingerprint, HashMap<TargetName, ComparableTimeMark>>()
    private val refused = LinkedHashMap<Fingerprint, ComparableTimeMark>()

    /** Number of fingerprints with a recorded crash. */
    val size: Int get() = crashes.size

    /** Records that [target] crashed with the requests [inFlight]. */
    fun crashed(target: TargetName, inFlight: Collection<Fingerprint>) {
        expire()
        val fingerprints = inFlight.toSet()
        for (fingerprint in fingerprints) {
            val targets = crashes.remove(fingerprint) ?: HashMap()
            targets[target] = timeSource.markNow()
            crashes[fingerprint] = targets
        }
        while (crashes.size > capacity) crashes.remove(crashes.keys.first())
        val highest = fingerprints.maxOfOrNull { countOf(it) } ?: return
        if (highest < CRASHES_TO_REFUSE) return
        val suspects = fingerprints.filter { countOf(it) == highest }
        val end = timeSource.markNow() + if (suspects.size == 1) refusal else sharedRefusal
        for (fingerprint in suspects) {
            refused[fingerprint] = refused[fingerprint]?.let { maxOf(it, end) } ?: end
        }
    }

    /** Clears [fingerprint], because a request with it was answered completely. */
    fun completed(fingerprint: Fingerprint) {
        crashes.remove(fingerprint)
        refused.remove(fingerprint)
    }

    /** Refused fingerprints with the remaining time of each refusal. */
    fun refusals(): Map<Fingerprint, Duration> {
        expire()
        return refused.mapValues { (_, end) -> -end.elapsedNow() }
    }

    /** Number of distinct targets that crashed with [fingerprint] in flight. */
    fun countOf(fingerprint: Fingerprint): Int = crashes[fingerprint]?.size ?: 0

    private fun expire() {
        refused.values.removeIf { it.hasPassedNow() }
        val entries = crashes.values.iterator()
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
