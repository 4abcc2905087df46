package org.hibiscusproxy.placement

import org.hibiscusproxy.model.TargetName

/**
 * Plans the attempts of one request over its ranked targets. The first attempts are probes: a
 * target without free capacity refuses them, and the next one is tried. The last attempt may wait,
 * so a request queues only after the likely targets refused it, and only in one fair queue.
 *
 * Not thread-safe.
 *
 * @property previousTarget target to try first, only if it has the chat cached, or null
 * @property maximumProbes number of refusals after which the request queues
 */
class RoutePlan(
    private val previousTarget: TargetName? = null,
    private val maximumProbes: Int = DEFAULT_PROBES,
) {
    private val refusingTargets = LinkedHashSet<TargetName>()
    private var pointerTarget: TargetName? = null
    private var wasRedirected = false
    private var hasTriedPreviousTarget = previousTarget == null

    init {
        require(maximumProbes >= 0) { "maximum probes must not be negative: $maximumProbes" }
    }

    /** Targets that refused this request, in the order of the attempts. */
    val refusals: Set<TargetName> get() = refusingTargets

    /**
     * Returns the next attempt, or null if [ranked] is empty.
     *
     * @param ranked targets in the current order of the placement policy
     * @param waitAt target at which to queue, or null for the first of [ranked]
     */
    fun next(ranked: List<TargetName>, waitAt: TargetName? = null): RouteStep? {
        if (ranked.isEmpty()) return null
        if (!hasTriedPreviousTarget) {
            hasTriedPreviousTarget = true
            if (previousTarget in ranked) return step(previousTarget!!, onlyIfCached = true)
        }
        val untried = ranked.filter { it !in refusingTargets }
        if (refusingTargets.size >= maximumProbes || untried.isEmpty()) {
            return step(waitAt ?: ranked.first(), mayWait = true)
        }
        val target = pointerTarget?.takeIf { it in untried } ?: untried.first()
        return step(target, mayWait = untried.size == 1)
    }

    /** Records that [target] had no free capacity. */
    fun recordRefusal(target: TargetName) {
        refusingTargets += target
        if (pointerTarget == target) pointerTarget = null
    }

    /** Records a pointer to [servedBy]. Later attempts ask for no further pointer. */
    fun recordRedirect(servedBy: TargetName) {
        wasRedirected = true
        pointerTarget = servedBy
    }

    private fun step(target: TargetName, mayWait: Boolean = false, onlyIfCached: Boolean = false) =
        RouteStep(target, mayWait, onlyIfCached, followsPointer = !wasRedirected)

    private companion object {
        const val DEFAULT_PROBES = 3
    }
}

/**
 * An attempt of a [RoutePlan].
 *
 * @property mayWait whether the sidecar may queue the attempt
 * @property onlyIfCached whether the sidecar runs the attempt only if it expects a cached prefix
 * @property followsPointer whether the sidecar returns its pointer, if any, instead of running it
 */
data class RouteStep(
    val target: TargetName,
    val mayWait: Boolean,
    val onlyIfCached: Boolean = false,
    val followsPointer: Boolean = true,
)
