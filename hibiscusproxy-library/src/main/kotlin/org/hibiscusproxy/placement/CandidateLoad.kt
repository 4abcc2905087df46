package org.hibiscusproxy.placement

/** Running and queued requests, zero when no load is known. */
internal val PlacementCandidate.work: Int get() = load?.let { it.running + it.queued } ?: 0

/** Requests that the target bears at present: its sidecar's limit, or its capacity if unknown. */
internal val PlacementCandidate.bearable: Int
    get() = load?.limit?.takeIf { it > 0 } ?: target.capacity

/** Work as a share of what the target bears. */
internal val PlacementCandidate.relativeLoad: Double get() = work.toDouble() / bearable
