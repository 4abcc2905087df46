package org.hibiscusproxy.placement

import org.hibiscusproxy.model.TargetName

/** Least relative load first, blind to what targets have cached; the key breaks ties. */
class LeastLoadedPlacement : PlacementPolicy {
    override fun rank(key: PrefixKey, candidates: List<PlacementCandidate>): List<TargetName> =
        Rendezvous.order(key.value, candidates)
            .sortedWith(compareBy({ it.relativeLoad }, { it.distance }))
            .map { it.target.name }
}
