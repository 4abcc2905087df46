package org.hibiscusproxy.admission

import kotlin.math.ceil
import kotlin.math.max
import org.hibiscusproxy.protocol.PoolLoad

/**
 * Largest number of admitted requests by the load of the pool:
 * `max(floor, ceil(multiple * (total + 1) / size))`.
 */
internal object LoadBound {
    /** A pool of one target or none has no bound but the capacity. */
    fun of(pool: PoolLoad, multiple: Double, floor: Int): Int {
        if (pool.targets <= 1) return Int.MAX_VALUE
        val bound = ceil(multiple * (pool.running + 1) / pool.targets).toInt()
        return max(floor, bound)
    }
}
