package org.hibiscusproxy.placement

import org.hibiscusproxy.model.TargetName

/** The less loaded of a chat's first two targets in rendezvous order, then the others. */
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
