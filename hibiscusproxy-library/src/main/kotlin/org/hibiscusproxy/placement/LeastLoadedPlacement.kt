package org.hibiscusproxy.placement

import org.hibiscusproxy.model.TargetName

/** Orders targets by relative load, ignoring their caches; ties by distance, then by key. */
class LeastLoadedPlacement : PlacementPolicy {
    override fun rank(key: PrefixKey, candidates: List<PlacementCandidate>): List<TargetName> =
        Rendezvous.order(key.value, candidates)
            .sortedWith(compareBy({ it.relativeLoad }, { it.distance }))
            .map { it.target.name }
}
