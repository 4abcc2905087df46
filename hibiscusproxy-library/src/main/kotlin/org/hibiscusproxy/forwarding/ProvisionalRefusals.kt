package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Refusal as AnnouncedRefusal

/**
 * Refuses for a short time what may be the cause of crashes but cannot be told from bystanders. With
 * all of them refused, targets come back; afterwards bystanders are answered, which clears them, and
 * the cause crashes one more target, which sets it apart. After a refusal, forwarders send such
 * requests on one at a time, until the cause is found or the refusal is lifted. Each further refusal
 * of the same takes twice as long, up to [LONGEST_DURATION]. Not thread-safe.
 */
class ProvisionalRefusals(private val time: TimeSource.WithComparableMarks) {
    private val refusals = LinkedHashMap<Set<Fingerprint>, Refusal>()

    /** Remaining times of the refusals in force. */
    val active: Map<Set<Fingerprint>, Duration>
        get() = refusals.filterKeys { !isCovered(it) }
            .mapValues { -it.value.end.elapsedNow() }
            .filterValues { it.isPositive() }

    /** Fingerprints that are refused or on trial, with the time since their refusal began. */
    val suspects: Map<Fingerprint, Duration>
        get() = refusals.filterValues { !it.isLifted && it.end.elapsedNow() < TRIAL_TIME }
            .flatMap { (cause, refusal) -> cause.map { it to refusal.begunAt.elapsedNow() } }
            .toMap()

    /** What forwarders have to know: refusals in force, their trials, and lifted refusals. */
    val announced: List<AnnouncedRefusal>
        get() = refusals.filterKeys { !isCovered(it) }.map { (cause, refusal) ->
            val remaining = (-refusal.end.elapsedNow()).inWholeMilliseconds
            val trial = TRIAL_TIME.inWholeMilliseconds + minOf(remaining, 0)
            if (refusal.isLifted || trial <= 0) {
                AnnouncedRefusal(cause, 0)
            } else {
                AnnouncedRefusal(cause, maxOf(remaining, 0), trial)
            }
        }

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
            if (known != null && known.crashes >= crashes && !known.isLifted) {
                refusals[cause] = known
                continue
            }
            val next = known?.let { minOf(it.duration * 2, LONGEST_DURATION) } ?: FIRST_DURATION
            val duration = next + STAGGER * added
            added += 1
            val now = time.markNow()
            refusals[cause] = Refusal(crashes, next, now, now + duration)
            if (refusals.size > MAXIMUM_REFUSALS) refusals.remove(refusals.keys.first())
        }
        return added > 0
    }

    /** Whether a refusal in force of fewer fingerprints covers [cause]. */
    private fun isCovered(cause: Set<Fingerprint>): Boolean = refusals.any { (other, refusal) ->
        other.size < cause.size && cause.containsAll(other) && !refusal.end.hasPassedNow()
    }

    /**
     * Lifts the refusals of requests that were answered well since they began.
     *
     * @param isAnswered whether an answer to a fingerprint, begun less than the given time ago,
     *   outlived its start
     * @return whether anything was lifted
     */
    fun lift(isAnswered: (Fingerprint, Duration) -> Boolean): Boolean {
        val lifted = refusals.filter { (cause, refusal) ->
            val age = refusal.begunAt.elapsedNow()
            !refusal.isLifted && cause.all { isAnswered(it, age) }
        }.values
        lifted.forEach { it.isLifted = true }
        return lifted.isNotEmpty()
    }

    private class Refusal(
        val crashes: Int,
        val duration: Duration,
        val begunAt: ComparableTimeMark,
        val end: ComparableTimeMark,
    ) {
        var isLifted = false
    }

    companion object {
        /** Bounds how long a sound request is refused because of one that crashes targets. */
        val LONGEST_DURATION = 1.minutes

        /** Targets that crashed are back after some seconds. */
        private val FIRST_DURATION = 5.seconds

        /** Lets refusals end one by one, so that what crashes a target then is alone. */
        private val STAGGER = 700.milliseconds
        private const val MAXIMUM_REFUSALS = 64

        /** Bounds the trial of requests that do not come again. */
        private val TRIAL_TIME = 1.minutes
    }
}
