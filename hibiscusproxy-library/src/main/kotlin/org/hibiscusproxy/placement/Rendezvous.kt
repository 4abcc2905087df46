package org.hibiscusproxy.placement

import kotlin.math.ln
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName

/**
 * Weighted rendezvous hashing. A target's score for a key depends only on the key and the target's
 * name and weight, so adding or removing a target moves only the keys of that target.
 */
internal object Rendezvous {
    private const val FRACTION_BITS = 53
    private const val SCALE = 1.0 / (1L shl FRACTION_BITS)

    /** Negative score, proportional to [weight] and never zero. */
    fun score(key: Long, name: TargetName, weight: Double): Double {
        val hash = Hashing.combine(key, Hashing.of(name.value))
        val uniform = ((hash ushr (Long.SIZE_BITS - FRACTION_BITS)) + 0.5) * SCALE
        return weight / ln(uniform)
    }

    /** Orders [candidates] by ascending score, the largest magnitude first; ties by name. */
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
