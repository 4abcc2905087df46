package org.hibiscusproxy.admission

/**
 * Divides the capacity of a service among classes of requests. Every class gets a minimum, so that
 * none is starved. The rest is given to the ranks in their order. The rank for which it does not
 * suffice shares it max-min fairly among its teams.
 */
internal object WaterFilling {
    /**
     * Returns the share of the requests to admit, from 0 to 1, by class.
     *
     * @param capacity requests a second that the service can serve
     * @param demand requests a second by class
     */
    fun shares(capacity: Double, demand: Map<RequestClass, Double>): Map<RequestClass, Double> {
        val total = demand.values.sum()
        if (total <= capacity) return demand.mapValues { 1.0 }
        val minimum = MINIMUM_SHARE * capacity / total
        var left = capacity * (1 - MINIMUM_SHARE)
        val shares = HashMap<RequestClass, Double>()
        for ((_, classes) in demand.entries.groupBy { it.key.rank }.toSortedMap()) {
            val ofRank = classes.sumOf { it.value }
            val level = if (ofRank * (1 - minimum) <= left) {
                Double.POSITIVE_INFINITY
            } else {
                level(classes.map { it.value }, minimum, left + ofRank * minimum)
            }
            left = (left - ofRank * (1 - minimum)).coerceAtLeast(0.0)
            classes.forEach { (key, perSecond) ->
                shares[key] = (level / perSecond).coerceIn(minimum, 1.0)
            }
        }
        return shares
    }

    /** Largest rate of one team at which the teams with [demands] get [available] together. */
    private fun level(demands: List<Double>, minimum: Double, available: Double): Double {
        var low = 0.0
        var high = demands.max()
        repeat(BISECTIONS) {
            val middle = (low + high) / 2
            val used = demands.sumOf { maxOf(it * minimum, minOf(it, middle)) }
            if (used > available) high = middle else low = middle
        }
        return low
    }

    /**
     * Share of the capacity that is divided in proportion to the demand. A class must be served at
     * least a quarter as often as all requests; the rest is a margin for errors of the estimates.
     */
    private const val MINIMUM_SHARE = 0.35

    /** Reduces the error of the level to a millionth of the largest demand. */
    private const val BISECTIONS = 20
}
