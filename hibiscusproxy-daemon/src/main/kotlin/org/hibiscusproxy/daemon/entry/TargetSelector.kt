package org.hibiscusproxy.daemon.entry

import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.placement.PlacementCandidate
import org.hibiscusproxy.placement.RoutePlan
import org.hibiscusproxy.placement.RouteStep
import org.hibiscusproxy.placement.preferredTarget
import org.hibiscusproxy.placement.queueTarget
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.ChatPlaced
import org.hibiscusproxy.protocol.NotRunReason

/**
 * Selects the targets of one request in order: its preferred target, the target that the preferred
 * target's placement pointer names, a few probes that do not wait, and finally one target whose
 * queue it joins. A claimed request is not probed, because each of its attempts costs two writes to
 * the replicated log. Used by one coroutine.
 */
internal class TargetSelector(
    private val request: CallerRequest,
    private val context: ExecutionContext,
) {
    /** Target of the next attempt. [untried] is the number of targets left after it. */
    class Choice(val target: Target, val priority: Priority, val step: RouteStep, val untried: Int)

    private var plan: RoutePlan? = null
    private val failedTargets = HashSet<TargetName>()
    private var preferred: TargetName? = null
    private var wasRedirected = false

    /** Selects the next target, or returns null if none accepts the request at present. */
    fun next(): Choice? {
        val snapshot = context.view.current ?: return null
        val selection = snapshot.filter.select(request.routed, context.loads)
        preferred = context.placement.preferredTarget(request.key, selection.candidates)
        val candidates = withoutUnavailable(selection.candidates)
        val ranked = context.placement.rank(request.key, candidates)
        val plan = plan ?: newPlan(candidates).also { plan = it }
        val step = plan.next(ranked, candidates.queueTarget(ranked)) ?: return null
        val target = candidates.first { it.target.name == step.target }.target
        val untried = ranked.count { it !in plan.refusals && it != step.target }
        return Choice(target, selection.priority, step, untried)
    }

    /**
     * Excludes targets that accept nothing at present, and targets that failed this request until
     * all others have failed too.
     */
    private fun withoutUnavailable(candidates: List<PlacementCandidate>): List<PlacementCandidate> {
        val remaining = candidates.filter { it.target.name !in failedTargets }
            .ifEmpty { candidates.also { failedTargets.clear() } }
        return remaining.filterNot { context.loads.isClosed(it.target.name) }.ifEmpty { remaining }
    }

    /**
     * Records that the attempt at [choice] did not run.
     *
     * @return whether selection continues as planned, so that this is not a failure to retry
     */
    fun notRun(choice: Choice, outcome: AttemptOutcome.NotRun): Boolean {
        val plan = plan ?: return false
        when (outcome.reason) {
            NotRunReason.CACHED_ELSEWHERE -> {
                wasRedirected = true
                plan.recordRedirect(outcome.servedBy ?: choice.target.name)
                return true
            }

            NotRunReason.NOT_CACHED -> return true

            NotRunReason.OVERLOADED -> {
                plan.recordRefusal(choice.target.name)
                if (choice.step.mayWait) return false
                context.probes.probeRefused()
                return true
            }

            else -> {
                failed(choice)
                return false
            }
        }
    }

    /** Records that the attempt at [choice] failed; other targets are preferred from now on. */
    fun failed(choice: Choice) {
        failedTargets += choice.target.name
    }

    /**
     * Notifies the preferred target that the chat ran at [choice], unless it ran there without a
     * redirect.
     */
    fun served(attempt: Attempt, choice: Choice) {
        val preferred = preferred ?: return
        if (!request.isChat || preferred == choice.target.name && !wasRedirected) return
        val targets = context.view.current?.state?.objects?.targets.orEmpty()
        val preferredTarget = targets.find { it.name == preferred } ?: return
        val placed = ChatPlaced(attempt, request.key.value, choice.target.name)
        context.view.linkTo(preferredTarget).sendInBackground(placed)
    }

    private fun newPlan(candidates: List<PlacementCandidate>): RoutePlan {
        if (request.claim != null) return RoutePlan(maximumProbes = 0)
        val probes = context.probes.requestStarted()
        if (!request.isChat) return RoutePlan(maximumProbes = probes)
        val previous =
            context.view.previousTarget(request.routed, request.key, context.placement, candidates)
        return RoutePlan(previous, probes)
    }
}
