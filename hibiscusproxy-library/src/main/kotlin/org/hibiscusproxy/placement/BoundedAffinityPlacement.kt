package org.hibiscusproxy.placement

import kotlin.math.ceil
import kotlin.math.max
import org.hibiscusproxy.model.TargetName

/**
 * Rendezvous order under the load bound: targets that have room by what the entry knows come
 * first, in rendezvous order; the others follow by relative load. The sidecar decides in the end.
 *
 * @property multiple largest work of a target as a multiple of the candidates' mean
 */
class BoundedAffinityPlacement(private val multiple: Double = 1.25) : PlacementPolicy {
    override fun rank(key: PrefixKey, candidates: List<PlacementCandidate>): List<TargetName> {
        val ordered = Rendezvous.order(key.value, candidates)
        if (ordered.isEmpty()) return emptyList()
        val mean = (ordered.sumOf { it.work } + 1.0) / ordered.size
        val bound = max(1, ceil(multiple * mean).toInt())
        val (room, full) = ordered.partition { it.work < bound && it.work < it.bearable }
        return (room + full.sortedBy { it.relativeLoad }).map { it.target.name }
    }
}
