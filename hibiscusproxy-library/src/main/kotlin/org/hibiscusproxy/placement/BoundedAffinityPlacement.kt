package org.hibiscusproxy.placement

import kotlin.math.ceil
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.model.TargetName

/**
 * Rendezvous hashing with bounded loads. The shared half of the key selects a small group of
 * targets and the whole key orders the group, so that few targets cache a prefix that many chats
 * share. The remaining targets follow in the order of the shared half, so that under load the
 * prefix spreads to as many targets as necessary.
 *
 * Targets are ordered by cost: the network round trip plus the expected prefill time of prefixes
 * that are not cached ([savings]). After the first target, those with free capacity according to
 * the known load come next, and the others follow by relative load. The target's sidecar makes the
 * final admission decision.
 *
 * @property multiple maximum load of a target as a multiple of the candidates' mean
 * @property groupSize number of targets that share a prefix at low load
 * @property savings prefill time that cached prefixes save
 */
class BoundedAffinityPlacement(
    private val multiple: Double = 1.25,
    private val groupSize: Int = 3,
    private val savings: PrefillSavings = PrefillSavings(),
) : PlacementPolicy {
    override fun rank(key: PrefixKey, candidates: List<PlacementCandidate>): List<TargetName> {
        val ordered = byCost(key, candidates)
        if (ordered.isEmpty()) return emptyList()
        val mean = (ordered.sumOf { it.requestCount } + 1.0) / ordered.size
        val bound = max(1, ceil(multiple * mean).toInt())
        val (free, full) = ordered.drop(1)
            .partition { it.requestCount < bound && it.requestCount < it.concurrencyLimit }
        return (ordered.take(1) + free + full.sortedBy { it.relativeLoad }).map { it.target.name }
    }

    private fun byCost(
        key: PrefixKey,
        candidates: List<PlacementCandidate>,
    ): List<PlacementCandidate> {
        val byShared = Rendezvous.order(key.shared, candidates)
        val group = Rendezvous.order(key.value, byShared.take(groupSize))
        val costs = group.mapIndexed { index, candidate ->
            candidate to (if (index == 0) Duration.ZERO else savings.conversation)
        } + byShared.drop(groupSize).mapIndexed { index, candidate ->
            candidate to savings.conversation + savings.sharedPrefix + savings.step * index
        }
        return costs.sortedBy { (candidate, missing) -> missing + candidate.distance * 2 }
            .map { it.first }
    }
}

/**
 * Prefill time that a cached prefix saves.
 *
 * @property conversation savings from a chat's own turns
 * @property sharedPrefix savings from the prefix that chats share
 * @property step decrease of the expected savings from one target to the next outside the group
 */
data class PrefillSavings(
    val conversation: Duration = 50.milliseconds,
    val sharedPrefix: Duration = 200.milliseconds,
    val step: Duration = 10.milliseconds,
)
