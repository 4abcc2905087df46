package org.hibiscusproxy.placement

import kotlin.math.ln
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName

/**
 * Weighted rendezvous hashing: a target's score for a key depends on nothing but the two and the
 * target's weight, so a joining or leaving target moves only the keys that it wins or loses.
 */
internal object Rendezvous {
    private const val FRACTION_BITS = 53
    private const val SCALE = 1.0 / (1L shl FRACTION_BITS)

    /** Higher is better; in proportion to [weight], negative and never zero. */
    fun score(key: Long, name: TargetName, weight: Double): Double {
        val hash = Hashing.combine(key, Hashing.of(name.value))
        val uniform = ((hash ushr (Long.SIZE_BITS - FRACTION_BITS)) + 0.5) * SCALE
        return weight / ln(uniform)
    }

    /** Scores are negative: `weight / ln(u)` is nearest to zero for the smallest u. */
    fun order(key: Long, candidates: List<PlacementCandidate>): List<PlacementCandidate> =
        candidates.filter { it.target.weight > 0 }
            .map { it to score(key, it.target) }
            .sortedWith(
                compareBy<Pair<PlacementCandidate, Double>> { it.second }
                    .thenBy { it.first.target.name.value },
            )
            .map { it.first }

    private fun score(key: Long, target: Target): Double = score(key, target.name, target.weight)
}
