package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.RefusalList

/**
 * Requests that this forwarder refuses, because they crash targets. A controller may lag behind the
 * others, so a list only adds to what is known or lifts what was refused for a short time; each
 * refusal ends by itself. Forwarders end the same refusal at different times: if the request crashes
 * targets still, the first of them finds out, and the others refuse on. During the trial that follows
 * some refusals, such requests are sent on one at a time. Not thread-safe.
 */
class RefusedRequests(
    private val time: TimeSource.WithComparableMarks,
    private val random: Random,
) {
    private val refusals = HashMap<Set<Fingerprint>, KnownRefusal>()

    /** Number of refused combinations of fingerprints, those on trial included. */
    val size: Int get() = refusals.size

    val isEmpty: Boolean get() = refusals.isEmpty()

    fun add(list: RefusalList) {
        val now = time.markNow()
        refusals.values.removeAll { it.trialEnd <= now }
        for (refusal in list.refusals) {
            val key = refusal.fingerprints
            val end = now + refusal.remainingMilliseconds.milliseconds
            val trialEnd = end + refusal.trialMilliseconds.milliseconds
            val known = refusals[key]
            if (trialEnd == now) {
                if (known?.hasTrial == true) refusals -= key
                continue
            }
            // The same refusal is announced again and again; its end is drawn once.
            if (known != null && known.covers(end, trialEnd, now)) continue
            val spread = END_SPREAD * random.nextDouble()
            val hasTrial = refusal.trialMilliseconds > 0
            refusals[key] = KnownRefusal(end + spread, trialEnd + spread, hasTrial)
        }
    }

    /** Remaining time for which a request with [fingerprints] is refused; null if it is not. */
    fun remaining(fingerprints: Collection<Fingerprint>): Duration? =
        matching(fingerprints).maxOfOrNull { -it.end.elapsedNow() }?.takeIf { it.isPositive() }

    /**
     * Returns null if a request with [fingerprints] may be sent on now, which counts as its trial;
     * otherwise the time for which it is refused.
     */
    fun admit(fingerprints: Collection<Fingerprint>): Duration? {
        remaining(fingerprints)?.let { return it }
        val trials = matching(fingerprints).filter { it.hasTrial && !it.isProven }
        val wait = trials.maxOfOrNull { it.nextTrial?.let { next -> -next.elapsedNow() } ?: ZERO }
        if (wait != null && wait.isPositive()) return wait
        trials.forEach { it.nextTrial = time.markNow() + TRIAL_INTERVAL }
        // Requests that come at several forwarders at once are all refused but for a few.
        return TRIAL_INTERVAL.takeIf { trials.isNotEmpty() && random.nextDouble() >= TRIAL_SHARE }
    }

    /** Records that an answer to a request with [fingerprints] outlived its start. */
    fun recordSurvivedAnswer(fingerprints: Collection<Fingerprint>) =
        matching(fingerprints).forEach { it.isProven = true }

    private fun matching(fingerprints: Collection<Fingerprint>): Collection<KnownRefusal> =
        refusals.filterKeys { fingerprints.containsAll(it) }.values

    /** Refusal until [end], followed by a trial until [trialEnd] if it [hasTrial]. */
    private class KnownRefusal(
        val end: ComparableTimeMark,
        val trialEnd: ComparableTimeMark,
        val hasTrial: Boolean,
    ) {
        var nextTrial: ComparableTimeMark? = null
        var isProven = false

        /** Whether a refusal announced at [now], with the ends [end] and [trialEnd], is this one. */
        fun covers(
            end: ComparableTimeMark,
            trialEnd: ComparableTimeMark,
            now: ComparableTimeMark,
        ): Boolean {
            val isOnTrial = end == now && hasTrial
            return (isOnTrial || this.end >= end - ANNOUNCEMENT_DELAY) &&
                this.trialEnd >= trialEnd - ANNOUNCEMENT_DELAY
        }
    }

    private companion object {
        /** Several times as long as other forwarders learn of a crash after it. */
        val END_SPREAD = 5.seconds

        /** Announcements of one refusal differ in its end by no more. */
        val ANNOUNCEMENT_DELAY = 1.seconds

        /** A crash under a request is known to all forwarders within this time. */
        val TRIAL_INTERVAL = 1.seconds

        /** Share of the trials that are let through. */
        const val TRIAL_SHARE = 0.25
    }
}
