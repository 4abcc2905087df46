package org.hibiscusproxy.placement

import org.hibiscusproxy.model.TargetName

/**
 * The walk of one request over its ranked targets. The first attempts ask for room at once and
 * go on when there is none; the last one may wait, so that a request waits only after it has
 * asked where room was likely, and in one fair queue only. Not safe for concurrent use.
 *
 * @property previousTarget target to ask first whether it has the chat cached, or null
 * @property maximumProbes refusals after which the request waits
 */
class RoutePlan(
    private val previousTarget: TargetName? = null,
    private val maximumProbes: Int = DEFAULT_PROBES,
) {
    private val refusedBy = LinkedHashSet<TargetName>()
    private var pointedTo: TargetName? = null
    private var wasRedirected = false
    private var hasAskedPreviousTarget = previousTarget == null

    init {
        require(maximumProbes >= 0) { "maximum probes must not be negative: $maximumProbes" }
    }

    /** Targets that had no room for this request, in the order they were asked. */
    val refusals: Set<TargetName> get() = refusedBy

    /**
     * Next step over the targets as the policy ranks them at present, or null if there are none.
     *
     * @param waitAt target whose queue is the shortest, or null to wait at the first one
     */
    fun next(ranked: List<TargetName>, waitAt: TargetName? = null): RouteStep? {
        if (ranked.isEmpty()) return null
        if (!hasAskedPreviousTarget) {
            hasAskedPreviousTarget = true
            if (previousTarget in ranked) return step(previousTarget!!, onlyIfCached = true)
        }
        val untried = ranked.filter { it !in refusedBy }
        if (refusedBy.size >= maximumProbes || untried.isEmpty()) {
            return step(waitAt ?: ranked.first(), mayWait = true)
        }
        val target = pointedTo?.takeIf { it in untried } ?: untried.first()
        return step(target, mayWait = untried.size == 1)
    }

    /** [target] had no room. */
    fun recordRefusal(target: TargetName) {
        refusedBy += target
        if (pointedTo == target) pointedTo = null
    }

    /** The home has a pointer that says the chat is at [servedBy]. Only the first one counts. */
    fun recordRedirect(servedBy: TargetName) {
        wasRedirected = true
        pointedTo = servedBy
    }

    private fun step(target: TargetName, mayWait: Boolean = false, onlyIfCached: Boolean = false) =
        RouteStep(target, mayWait, onlyIfCached, followsPointer = !wasRedirected)

    private companion object {
        const val DEFAULT_PROBES = 3
    }
}

/**
 * One attempt of a plan.
 *
 * @property mayWait whether the sidecar may queue it
 * @property onlyIfCached whether the sidecar runs it only when it believes the chat cached
 * @property followsPointer whether the sidecar answers with its pointer, if it has one, instead
 */
data class RouteStep(
    val target: TargetName,
    val mayWait: Boolean,
    val onlyIfCached: Boolean = false,
    val followsPointer: Boolean = true,
)
