package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.protocol.Fingerprint

/**
 * Refuses for a short time what may be the cause of crashes but cannot be told from bystanders. With
 * all of them refused, targets come back; afterwards bystanders are answered, which clears them, and
 * the cause crashes one more target, which sets it apart. Each further refusal of the same takes
 * twice as long, up to [LONGEST_DURATION]. Not thread-safe.
 */
class ProvisionalRefusals(private val time: TimeSource.WithComparableMarks) {
    private val refusals = LinkedHashMap<Set<Fingerprint>, Refusal>()

    /** Remaining times of the refusals in force. */
    val active: Map<Set<Fingerprint>, Duration>
        get() = refusals.filterKeys { !isCovered(it) }
            .mapValues { -it.value.end.elapsedNow() }
            .filterValues { it.isPositive() }

    /**
     * Refuses those of [undecided] that crashed targets since their last refusal.
     *
     * @param undecided possible causes with the number of crashes of each
     * @return whether anything new is refused
     */
    fun update(undecided: Map<Set<Fingerprint>, Int>): Boolean {
        var added = 0
        for ((cause, crashes) in undecided) {
            val known = refusals.remove(cause)
            if (known != null && known.crashes >= crashes) {
                refusals[cause] = known
                continue
            }
            val next = known?.let { minOf(it.duration * 2, LONGEST_DURATION) } ?: FIRST_DURATION
            val duration = next + STAGGER * added
            added += 1
            refusals[cause] = Refusal(crashes, next, time.markNow() + duration)
            if (refusals.size > MAXIMUM_REFUSALS) refusals.remove(refusals.keys.first())
        }
        return added > 0
    }

    /** Whether a refusal in force of fewer fingerprints covers [cause]. */
    private fun isCovered(cause: Set<Fingerprint>): Boolean = refusals.any { (other, refusal) ->
        other.size < cause.size && cause.containsAll(other) && !refusal.end.hasPassedNow()
    }

    private class Refusal(val crashes: Int, val duration: Duration, val end: ComparableTimeMark)

    companion object {
        /** Bounds how long a sound request is refused because of one that crashes targets. */
        val LONGEST_DURATION = 1.minutes

        /** Targets that crashed are back after some seconds. */
        private val FIRST_DURATION = 5.seconds

        /** Lets refusals end one by one, so that what crashes a target then is alone. */
        private val STAGGER = 700.milliseconds
        private const val MAXIMUM_REFUSALS = 64
    }
}
