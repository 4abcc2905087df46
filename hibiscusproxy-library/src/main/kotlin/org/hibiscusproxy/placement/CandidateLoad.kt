package org.hibiscusproxy.placement

import org.hibiscusproxy.model.TargetName

/** Number of running and queued requests; zero if the load is unknown. */
internal val PlacementCandidate.requestCount: Int get() = load?.let { it.running + it.queued } ?: 0

/** Current concurrency limit of the target's sidecar, or the target's capacity if unknown. */
internal val PlacementCandidate.concurrencyLimit: Int
    get() = load?.limit?.takeIf { it > 0 } ?: target.capacity

/** Number of requests relative to the concurrency limit. */
internal val PlacementCandidate.relativeLoad: Double
    get() = requestCount.toDouble() / concurrencyLimit

/**
 * Returns the candidate at which a request should queue. This is the first of [ranked], where a
 * cached prefix is most likely, unless the queue of another is shorter by more than
 * [QUEUE_TOLERANCE], in queued requests per concurrency limit. Null if no load is known.
 */
fun List<PlacementCandidate>.queueTarget(ranked: List<TargetName>): TargetName? {
    val queues = filter { (it.load?.limit ?: 0) > 0 }
        .associate { it.target.name to (it.load!!.queued + 1.0) / it.load.limit }
    val shortest = ranked.filter { it in queues }.minByOrNull { queues.getValue(it) } ?: return null
    val preferred = ranked.first()
    val preferredQueue = queues[preferred] ?: return preferred
    val limit = queues.getValue(shortest) + QUEUE_TOLERANCE
    return if (preferredQueue <= limit) preferred else shortest
}

/** Half of a request's run time, which is about the cost of an uncached prefix. */
private const val QUEUE_TOLERANCE = 0.5
