package org.hibiscusproxy.placement

import org.hibiscusproxy.model.TargetName

/** Weighted rendezvous order of the whole key, regardless of load and distance. */
class RendezvousPlacement : PlacementPolicy {
    override fun rank(key: PrefixKey, candidates: List<PlacementCandidate>): List<TargetName> =
        Rendezvous.order(key.value, candidates).map { it.target.name }
}
