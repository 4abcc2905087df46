package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.RefusalList

/**
 * Requests that this forwarder refuses, because they crash targets. A controller may lag behind the
 * others, so a list only adds to what is known; each refusal ends by itself. Forwarders end the same
 * refusal at different times: if the request crashes targets still, the first of them finds out, and
 * the others refuse on. Not thread-safe.
 */
class RefusedRequests(
    private val time: TimeSource.WithComparableMarks,
    private val random: Random,
) {
    private val refusedUntil = HashMap<Set<Fingerprint>, ComparableTimeMark>()

    /** Number of refused combinations of fingerprints. */
    val size: Int get() = refusedUntil.size

    val isEmpty: Boolean get() = refusedUntil.isEmpty()

    fun add(list: RefusalList) {
        val now = time.markNow()
        refusedUntil.values.removeAll { it <= now }
        for (refusal in list.refusals) {
            val end = now + refusal.remainingMilliseconds.milliseconds
            val known = refusedUntil[refusal.fingerprints]
            // The same refusal is announced again and again; its end is drawn once.
            if (known != null && known >= end - ANNOUNCEMENT_DELAY) continue
            refusedUntil[refusal.fingerprints] = end + END_SPREAD * random.nextDouble()
        }
    }

    /** Remaining time for which a request with [fingerprints] is refused; null if it is not. */
    fun remaining(fingerprints: Collection<Fingerprint>): Duration? = refusedUntil.entries
        .filter { (refused, _) -> fingerprints.containsAll(refused) }
        .maxOfOrNull { (_, end) -> -end.elapsedNow() }
        ?.takeIf { it.isPositive() }

    private companion object {
        /** Several times as long as other forwarders learn of a crash after it. */
        val END_SPREAD = 5.seconds

        /** Announcements of one refusal differ in its end by no more. */
        val ANNOUNCEMENT_DELAY = 1.seconds
    }
}
