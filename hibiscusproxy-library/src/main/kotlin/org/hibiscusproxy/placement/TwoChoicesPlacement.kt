package org.hibiscusproxy.placement

import org.hibiscusproxy.model.TargetName

/** Rendezvous order in which the less loaded of the first two targets comes first. */
class TwoChoicesPlacement : PlacementPolicy {
    override fun rank(key: PrefixKey, candidates: List<PlacementCandidate>): List<TargetName> {
        val ordered = Rendezvous.order(key.value, candidates)
        val choices = ordered.take(CHOICES).sortedBy { it.relativeLoad }
        return (choices + ordered.drop(CHOICES)).map { it.target.name }
    }

    private companion object {
        const val CHOICES = 2
    }
}
