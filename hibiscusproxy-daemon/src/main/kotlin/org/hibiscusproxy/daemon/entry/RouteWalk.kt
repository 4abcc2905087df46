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
 * The way of one request over its targets: home first, then where the home's pointer leads, then
 * a few probes that do not wait, then one queue. A claimed request is not probed, because each of
 * its attempts costs two writes to the replicated log. Used by one coroutine.
 */
internal class RouteWalk(private val request: CallerRequest, private val context: RunContext) {
    /** Next attempt. [untried] counts the targets left after it. */
    class Choice(val target: Target, val priority: Priority, val step: RouteStep, val untried: Int)

    private var plan: RoutePlan? = null
    private val avoided = HashSet<TargetName>()
    private var home: TargetName? = null
    private var hasPointer = false

    /** The next attempt, or null when no target takes the request at present. */
    fun next(): Choice? {
        val snapshot = context.view.current ?: return null
        val selection = snapshot.filter.select(request.routed, context.loads)
        home = context.placement.preferredTarget(request.key, selection.candidates)
        val candidates = usable(selection.candidates)
        val ranked = context.placement.rank(request.key, candidates)
        val plan = plan ?: newPlan(candidates).also { plan = it }
        val step = plan.next(ranked, candidates.queueTarget(ranked)) ?: return null
        val target = candidates.first { it.target.name == step.target }.target
        val untried = ranked.count { it !in plan.refusals && it != step.target }
        return Choice(target, selection.priority, step, untried)
    }

    /**
     * Leaves out targets that take nothing at present, and targets that failed this request until
     * all others have failed too.
     */
    private fun usable(candidates: List<PlacementCandidate>): List<PlacementCandidate> {
        val remaining = candidates.filter { it.target.name !in avoided }
            .ifEmpty { candidates.also { avoided.clear() } }
        return remaining.filterNot { context.loads.isClosed(it.target.name) }.ifEmpty { remaining }
    }

    /**
     * Takes note that [choice] did not run.
     *
     * @return whether the walk goes on as planned, so that this is no failure to retry
     */
    fun notRun(choice: Choice, outcome: AttemptOutcome.NotRun): Boolean {
        val plan = plan ?: return false
        when (outcome.reason) {
            NotRunReason.CACHED_ELSEWHERE -> {
                hasPointer = true
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

    /** [choice] may have run and failed; other targets go first from now on. */
    fun failed(choice: Choice) {
        avoided += choice.target.name
    }

    /** The chat ran at [choice]; its home learns of it if it would look elsewhere. */
    fun served(attempt: Attempt, choice: Choice) {
        val home = home ?: return
        if (!request.isChat || home == choice.target.name && !hasPointer) return
        val targets = context.view.current?.state?.objects?.targets.orEmpty()
        val homeTarget = targets.find { it.name == home } ?: return
        val placed = ChatPlaced(attempt, request.key.value, choice.target.name)
        context.view.linkTo(homeTarget).tell(placed)
    }

    private fun newPlan(candidates: List<PlacementCandidate>): RoutePlan {
        if (request.claim != null) return RoutePlan(maximumProbes = 0)
        val probes = context.probes.requestStarted()
        if (!request.isChat) return RoutePlan(maximumProbes = probes)
        val former =
            context.view.formerHome(request.routed, request.key, context.placement, candidates)
        return RoutePlan(former, probes)
    }
}
