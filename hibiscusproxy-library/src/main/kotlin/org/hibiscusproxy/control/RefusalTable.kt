package org.hibiscusproxy.control

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.protocol.Fingerprint

/**
 * Requests that crash targets, each as a set of fingerprints that a request must have to be
 * refused. A refusal ends by itself, in case the cause was another or was repaired. It is
 * remembered for as long again; if such requests crash targets once more, the next refusal takes
 * twice as long.
 */
internal class RefusalTable(private val limits: ControlLimits) {
    private val records = LinkedHashMap<Set<Fingerprint>, RefusalRecord>()

    fun refuse(fingerprints: Set<Fingerprint>, now: FleetInstant) {
        expire(now)
        if (fingerprints.isEmpty()) return
        val known = records[fingerprints]
        if (known != null && known.end > now) return
        // The new refusal covers all requests of those that need more fingerprints.
        records.keys.removeAll { it.containsAll(fingerprints) }
        val duration = known?.let { it.duration * 2 } ?: limits.firstRefusal
        val milliseconds = minOf(duration, limits.longestRefusal).inWholeMilliseconds
        val end = now + milliseconds.milliseconds
        records[fingerprints] = RefusalRecord(fingerprints, end, milliseconds)
        if (records.size > limits.maximumRefusals) records.remove(records.keys.first())
    }

    /** Refusals in force at [now]. */
    fun active(now: FleetInstant): List<ActiveRefusal> = records.values
        .filter { it.end > now }
        .map {
            val remaining = (it.end.milliseconds - now.milliseconds).milliseconds
            ActiveRefusal(it.fingerprints, it.duration - remaining, remaining)
        }

    /** Fingerprints of the refusals in force or remembered. */
    val known: Set<Set<Fingerprint>> get() = records.keys

    fun expire(now: FleetInstant) {
        records.values.removeAll { it.forgottenAt <= now }
    }

    fun nextExpiry(): FleetInstant? = records.values.minOfOrNull { it.forgottenAt }

    fun snapshot(): List<RefusalRecord> = records.values.toList()

    fun restore(snapshot: List<RefusalRecord>) {
        records.clear()
        snapshot.associateByTo(records) { it.fingerprints }
    }

    private val RefusalRecord.duration: Duration get() = durationMilliseconds.milliseconds

    private val RefusalRecord.forgottenAt: FleetInstant get() = end + duration
}

/**
 * Refusal of requests that have all [fingerprints].
 *
 * @property age time since it began
 * @property remaining time until it ends
 */
data class ActiveRefusal(
    val fingerprints: Set<Fingerprint>,
    val age: Duration,
    val remaining: Duration,
)
