package org.hibiscusproxy.admission

import kotlin.math.ceil
import kotlin.math.floor
import kotlin.math.max
import kotlin.math.sqrt
import org.hibiscusproxy.protocol.PoolLoad

/**
 * Largest number of admitted requests by the load of the pool. The total is the sum of the newest
 * report of each target that takes new work, as it came with the lease: one to two seconds old,
 * at most three, because admission stops when the lease expires. A silent sidecar's last report
 * counts until its own lease has expired.
 *
 * When the total falls, running streams stay, so a target filled up to the set multiple exceeds
 * it a moment later. [forProbe] therefore keeps a margin of one standard deviation of a Poisson
 * total for attempts that can still go elsewhere; it shrinks to nothing in large pools.
 *
 * @property multiple largest load as a multiple of the mean
 * @property floor requests that are always allowed
 */
internal class LoadBound(private val multiple: Double, private val floor: Int) {
    /** `max(floor, ceil(multiple * (total + 1) / size))`; a pool of one has no bound. */
    fun of(pool: PoolLoad): Int = bound(pool, pool.running + 1.0)

    /** As [of] less the margin, but never less than the next whole request above the mean. */
    fun forProbe(pool: PoolLoad): Int {
        if (pool.targets <= 1) return Int.MAX_VALUE
        // A pool whose bounds add up to its own total could never grow again.
        val aboveMean = floor(pool.running.toDouble() / pool.targets).toInt() + 1
        return max(
            aboveMean,
            bound(pool, pool.running + 1 - MARGIN * sqrt(pool.running.toDouble())),
        )
    }

    private fun bound(pool: PoolLoad, total: Double): Int {
        if (pool.targets <= 1) return Int.MAX_VALUE
        return max(floor, ceil(multiple * total / pool.targets).toInt())
    }

    private companion object {
        const val MARGIN = 1.0
    }
}
