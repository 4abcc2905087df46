package org.hibiscusproxy.placement

import kotlin.math.ceil
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.model.TargetName

/**
 * Rendezvous order under the load bound. The shared half of the key selects a few targets that
 * keep a manual, and the whole key orders these, so chats over one manual share few copies of it.
 * Under load the walk goes on in the order of the shared half: the manual spreads as far as its
 * load needs.
 *
 * Distance is weighed in time: a target costs the round trip to it plus the prefill that a missing
 * prefix is worth ([worth]); the order is by cost. Targets that have room by what the entry knows
 * come first; the others follow by relative load. The sidecar decides in the end.
 *
 * @property multiple largest work of a target as a multiple of the candidates' mean
 * @property groupSize targets that share a manual at low load
 * @property worth what cached prefixes save
 */
class BoundedAffinityPlacement(
    private val multiple: Double = 1.25,
    private val groupSize: Int = 3,
    private val savings: PrefillSavings = PrefillSavings(),
) : PlacementPolicy {
    override fun rank(key: PrefixKey, candidates: List<PlacementCandidate>): List<TargetName> {
        val ordered = byCost(key, candidates)
        if (ordered.isEmpty()) return emptyList()
        val mean = (ordered.sumOf { it.work } + 1.0) / ordered.size
        val bound = max(1, ceil(multiple * mean).toInt())
        val (room, full) = ordered.drop(1)
            .partition { it.work < bound && it.work < it.bearable }
        return (ordered.take(1) + room + full.sortedBy { it.relativeLoad }).map { it.target.name }
    }

    private fun byCost(
        key: PrefixKey,
        candidates: List<PlacementCandidate>,
    ): List<PlacementCandidate> {
        val byManual = Rendezvous.order(key.shared, candidates)
        val group = Rendezvous.order(key.value, byManual.take(groupSize))
        val costs = group.mapIndexed { index, candidate ->
            candidate to (if (index == 0) Duration.ZERO else savings.conversation)
        } + byManual.drop(groupSize).mapIndexed { index, candidate ->
            candidate to savings.conversation + savings.sharedPrefix + savings.step * index
        }
        return costs.sortedBy { (candidate, missing) -> missing + candidate.distance * 2 }
            .map { it.first }
    }
}

/**
 * Prefill time that a cached prefix saves.
 *
 * @property conversation a chat's own turns
 * @property manual what chats share
 * @property step how much likelier each target of the walk has the manual than the next
 */
data class PrefillSavings(
    val conversation: Duration = 50.milliseconds,
    val sharedPrefix: Duration = 200.milliseconds,
    val step: Duration = 10.milliseconds,
)
