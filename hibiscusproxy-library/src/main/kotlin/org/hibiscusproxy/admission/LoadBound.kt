package org.hibiscusproxy.admission

import kotlin.math.ceil
import kotlin.math.floor
import kotlin.math.max
import kotlin.math.sqrt
import org.hibiscusproxy.protocol.PoolLoad

/**
 * Limits the running requests of one target relative to the mean load of its pool. The pool's total
 * sums the newest load report of each target that takes new work and arrives with the lease. It is
 * usually one to two seconds old and at most three, because admission stops when the lease expires.
 * The last report of a silent sidecar counts until that sidecar's lease has expired.
 *
 * When the total falls, running streams continue, so a target filled up to the configured multiple
 * soon exceeds it. [probeBound] therefore keeps a margin of one standard deviation of a
 * Poisson-distributed total for attempts that can still run on another target. The margin becomes
 * negligible in large pools.
 *
 * @property multiple maximum load as a multiple of the mean
 * @property floor number of requests that are always allowed
 */
internal class LoadBound(private val multiple: Double, private val floor: Int) {
    /** `max(floor, ceil(multiple * (total + 1) / size))`; a pool of one target is unbounded. */
    fun bound(pool: PoolLoad): Int = scaledBound(pool, pool.running + 1.0)

    /**
     * Bound for an attempt that may not wait: [bound] less the margin, but at least the next
     * integer above the mean.
     */
    fun probeBound(pool: PoolLoad): Int {
        if (pool.targets <= 1) return Int.MAX_VALUE
        // If the bounds of a pool added up to its current total, its load could never grow.
        val aboveMean = floor(pool.running.toDouble() / pool.targets).toInt() + 1
        return max(
            aboveMean,
            scaledBound(
                pool,
                pool.running + 1 - MARGIN_STANDARD_DEVIATIONS * sqrt(pool.running.toDouble()),
            ),
        )
    }

    private fun scaledBound(pool: PoolLoad, total: Double): Int {
        if (pool.targets <= 1) return Int.MAX_VALUE
        return max(floor, ceil(multiple * total / pool.targets).toInt())
    }

    private companion object {
        const val MARGIN_STANDARD_DEVIATIONS = 1.0
    }
}
