package org.hibiscusproxy.control

import java.util.TreeMap
import kotlin.time.ComparableTimeMark

/** Leases granted to one incarnation of a sidecar, keyed by fleet version. */
internal class LeaseHolder {
    private val expiries = TreeMap<Long, ComparableTimeMark>()

    /** Newest version that the sidecar is known to act on. */
    var acknowledged: Long = -1
        private set

    /** Latest expiry of any granted lease. Must not be read before the first grant. */
    val lastExpiry: ComparableTimeMark get() = expiries.values.max()

    fun recordGrant(version: Long, expiry: ComparableTimeMark) {
        expiries[version] = expiry
    }

    /**
     * Records that the sidecar acts on [version] and will not act on an earlier one. The newest
     * grant is kept, because the sidecar may hold that lease.
     */
    fun acknowledge(version: Long, now: ComparableTimeMark) {
        acknowledged = maxOf(acknowledged, version)
        val newest = expiries.lastEntry()?.key ?: return
        expiries.entries.removeIf { (granted, expiry) ->
            granted < newest && (granted < acknowledged || expiry <= now)
        }
    }

    /** Latest expiry of a lease before [version] that the sidecar may still act on at [now]. */
    fun latestExpiryBefore(version: Long, now: ComparableTimeMark): ComparableTimeMark? {
        if (acknowledged >= version) return null
        return expiries.headMap(version).values.maxOrNull()?.takeIf { it > now }
    }
}
