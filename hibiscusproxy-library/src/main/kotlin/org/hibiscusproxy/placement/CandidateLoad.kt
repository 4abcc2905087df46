package org.hibiscusproxy.placement

import org.hibiscusproxy.model.TargetName

/** Running and queued requests, zero when no load is known. */
internal val PlacementCandidate.work: Int get() = load?.let { it.running + it.queued } ?: 0

/** Requests that the target bears at present: its sidecar's limit, or its capacity if unknown. */
internal val PlacementCandidate.bearable: Int
    get() = load?.limit?.takeIf { it > 0 } ?: target.capacity

/** Work as a share of what the target bears. */
internal val PlacementCandidate.relativeLoad: Double get() = work.toDouble() / bearable

/**
 * Candidate at which a request had best wait: the first of [ranked], whose cache helps most,
 * unless another has a queue shorter by [TOLERATED_QUEUE] of its places. Null when no load is
 * known.
 */
fun List<PlacementCandidate>.queueTarget(ranked: List<TargetName>): TargetName? {
    val queues = filter { (it.load?.limit ?: 0) > 0 }
        .associate { it.target.name to (it.load!!.queued + 1.0) / it.load.limit }
    val shortest = ranked.filter { it in queues }.minByOrNull { queues.getValue(it) } ?: return null
    val home = ranked.first()
    val ofHome = queues[home] ?: return home
    return if (ofHome <= queues.getValue(shortest) + TOLERATED_QUEUE) home else shortest
}

/** Half a run time: about what a prompt without its cached prefix costs. */
private const val TOLERATED_QUEUE = 0.5
