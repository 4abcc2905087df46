package org.hibiscusproxy.control

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Fingerprint

/**
 * Fingerprints of requests that were in progress when targets crashed. Distinct targets are
 * counted, not reports, because an entry and a sidecar may both report the same crash.
 */
internal class CrashTable(private val limits: ControlLimits) {
    private val records = LinkedHashMap<Fingerprint, CrashRecord>()

    fun record(target: TargetName, fingerprints: List<Fingerprint>, now: FleetInstant) {
        expire(now)
        for (fingerprint in fingerprints.distinct()) {
            val known = records.remove(fingerprint)?.targets.orEmpty()
            val targets = if (known.size < limits.crashesToRefuse) known + target else known
            records[fingerprint] = CrashRecord(fingerprint, targets, now)
            if (records.size > limits.maximumFingerprints) records.remove(records.keys.first())
        }
    }

    /** Fingerprints to refuse at [now], with the remaining time of each refusal. */
    fun refused(now: FleetInstant): Map<Fingerprint, Duration> = records.values
        .filter { it.targets.size >= limits.crashesToRefuse }
        .associate { it.fingerprint to (it.expiry().milliseconds - now.milliseconds).milliseconds }
        .filterValues { it.isPositive() }

    fun expire(now: FleetInstant) {
        while (true) {
            val oldest = records.values.firstOrNull() ?: return
            if (oldest.expiry() > now) return
            records.remove(oldest.fingerprint)
        }
    }

    fun nextExpiry(): FleetInstant? = records.values.firstOrNull()?.expiry()

    fun snapshot(): List<CrashRecord> = records.values.toList()

    fun restore(snapshot: List<CrashRecord>) {
        records.clear()
        snapshot.associateByTo(records) { it.fingerprint }
    }

    private fun CrashRecord.expiry(): FleetInstant = last + limits.crashRetention
}
