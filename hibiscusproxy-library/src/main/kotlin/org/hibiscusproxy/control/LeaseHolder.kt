package org.hibiscusproxy.control

import java.util.TreeMap
import kotlin.time.ComparableTimeMark

/** Leases granted to one incarnation of a sidecar, by the version they state. */
internal class LeaseHolder {
    private val expiries = TreeMap<Long, ComparableTimeMark>()

    /** Newest version that the sidecar is known to act on. */
    var acknowledged: Long = -1
        private set

    /** End of the lease that runs longest. Only meaningful after the first grant. */
    val lastExpiry: ComparableTimeMark get() = expiries.values.max()

    fun granted(version: Long, expiry: ComparableTimeMark) {
        expiries[version] = expiry
    }

    /**
     * The sidecar acts on [version] and never again on an earlier one. The newest grant stays, as
     * the sidecar may hold the lease that it stands for.
     */
    fun acknowledge(version: Long, now: ComparableTimeMark) {
        acknowledged = maxOf(acknowledged, version)
        val newest = expiries.lastEntry()?.key ?: return
        expiries.entries.removeIf { (granted, expiry) ->
            granted < newest && (granted < acknowledged || expiry <= now)
        }
    }

    /** End of the last lease before [version] that the sidecar may still act on at [now]. */
    fun latestBefore(version: Long, now: ComparableTimeMark): ComparableTimeMark? {
        if (acknowledged >= version) return null
        return expiries.headMap(version).values.maxOrNull()?.takeIf { it > now }
    }
}
