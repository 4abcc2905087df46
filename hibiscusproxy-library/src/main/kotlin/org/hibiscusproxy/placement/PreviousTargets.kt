package org.hibiscusproxy.placement

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource
import org.hibiscusproxy.model.TargetName

/**
 * Remembers the filter in force before the last membership change, so that a chat whose home
 * moved can be looked for at its former home. A later change replaces it: a chat that did not
 * return in between has lost little, because its prefix ages in the cache meanwhile.
 *
 * @property retention time after a change during which former homes are asked
 */
class PreviousTargets(
    private val timeSource: TimeSource.WithComparableMarks,
    private val retention: Duration = 10.minutes,
) {
    private var former: TargetFilter? = null
    private var changedAt: ComparableTimeMark? = null

    /** [previous] was replaced by a filter with other candidates. */
    fun recordChange(previous: TargetFilter) {
        former = previous
        changedAt = timeSource.markNow()
    }

    /**
     * Former home of a request, or null when it did not move or takes no new work any more.
     *
     * @param candidates present candidates of the request
     */
    fun find(
        request: RoutedRequest,
        key: PrefixKey,
        policy: PlacementPolicy,
        candidates: List<PlacementCandidate>,
    ): TargetName? {
        val since = changedAt ?: return null
        if (since.elapsedNow() > retention) {
            former = null
            changedAt = null
            return null
        }
        val formerCandidates = former?.select(request, NO_LOADS)?.candidates.orEmpty()
        val home = policy.preferredTarget(key, formerCandidates) ?: return null
        return home.takeIf { name ->
            name != policy.preferredTarget(key, candidates) &&
                candidates.any { it.target.name == name }
        }
    }

    private companion object {
        val NO_LOADS = LoadTable(TimeSource.Monotonic)
    }
}

/** The target that a key belongs to when loads are left aside, or null without candidates. */
fun PlacementPolicy.preferredTarget(
    key: PrefixKey,
    candidates: List<PlacementCandidate>,
): TargetName? = rank(key, candidates.map { it.copy(load = null) }).firstOrNull()
