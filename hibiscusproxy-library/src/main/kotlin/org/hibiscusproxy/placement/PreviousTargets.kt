package org.hibiscusproxy.placement

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource
import org.hibiscusproxy.model.TargetName

/**
 * Finds the preferred target that a chat had before the latest membership change, which may still
 * have its prefix cached. Only the latest change is kept. A chat without a request between two
 * changes loses little by that, because its prefix is likely to be evicted meanwhile.
 *
 * @property retention time after a change during which previous targets are returned
 */
class PreviousTargets(
    private val timeSource: TimeSource.WithComparableMarks,
    private val retention: Duration = 10.minutes,
) {
    private var previousFilter: TargetFilter? = null
    private var changedAt: ComparableTimeMark? = null

    /** Records that a filter with different candidates replaced [previous]. */
    fun recordChange(previous: TargetFilter) {
        previousFilter = previous
        changedAt = timeSource.markNow()
    }

    /**
     * Returns the previous target of a request, or null if it is unchanged or is no longer a
     * candidate.
     *
     * @param candidates current candidates of the request
     */
    fun find(
        request: RoutedRequest,
        key: PrefixKey,
        policy: PlacementPolicy,
        candidates: List<PlacementCandidate>,
    ): TargetName? {
        val since = changedAt ?: return null
        if (since.elapsedNow() > retention) {
            previousFilter = null
            changedAt = null
            return null
        }
        val previousCandidates = previousFilter?.select(request, NO_LOADS)?.candidates.orEmpty()
        val target = policy.preferredTarget(key, previousCandidates) ?: return null
        return target.takeIf { name ->
            name != policy.preferredTarget(key, candidates) &&
                candidates.any { it.target.name == name }
        }
    }

    private companion object {
        val NO_LOADS = LoadTable(TimeSource.Monotonic)
    }
}

/** Returns the first target for [key] regardless of load, or null if there are no candidates. */
fun PlacementPolicy.preferredTarget(
    key: PrefixKey,
    candidates: List<PlacementCandidate>,
): TargetName? = rank(key, candidates.map { it.copy(load = null) }).firstOrNull()
