package org.hibiscusproxy.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.ModelName
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.model.RoutingRule
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.TeamName

/**
 * Selects the targets that may serve a request according to one version of the fleet state.
 *
 * @property dataCenter data centre of the entry, from which distances are measured
 */
class TargetFilter(private val state: FleetState, private val dataCenter: DataCenterName) {
    private val distances: Map<DataCenterName, Duration> = buildMap {
        for (link in state.objects.links) {
            if (link.first == dataCenter) put(link.second, link.oneWayMilliseconds.milliseconds)
            if (link.second == dataCenter) put(link.first, link.oneWayMilliseconds.milliseconds)
        }
        put(dataCenter, Duration.ZERO)
    }
    private val teams = state.objects.teams.associateBy { it.name }
    private val targets = state.objects.targets.groupBy { it.service }

    /** Returns the candidates of a request, with their known [loads], and its priority. */
    fun select(request: RoutedRequest, loads: LoadTable): Selection {
        val rule = state.objects.routingRules.firstOrNull { it.matches(request) }
        val candidates = targets[request.service].orEmpty()
            .filter { state.stateOf(it) == OperationalState.IN }
            .filter { it.serves(request) && (rule == null || rule.allows(it)) }
            .map { PlacementCandidate(it, loads.loadOf(it.name), distanceTo(it)) }
        val priority = rule?.priority
            ?: teams[request.team]?.defaultPriority
            ?: Priority.NORMAL
        return Selection(candidates, priority)
    }

    /** Data centres without a link have a large distance, so that they come last. */
    private fun distanceTo(target: Target): Duration =
        distances[target.dataCenter] ?: UNLINKED_DISTANCE

    private fun RoutingRule.matches(request: RoutedRequest): Boolean = service == request.service &&
        (team == null || team == request.team) &&
        (model == null || model == request.model) &&
        (adapter == null || adapter == request.adapter)

    private fun RoutingRule.allows(target: Target): Boolean =
        (targets.isEmpty() || target.name in targets) &&
            (dataCenters.isEmpty() || target.dataCenter in dataCenters)

    private fun Target.serves(request: RoutedRequest): Boolean =
        (request.model == null || request.model in models) &&
            (request.adapter == null || request.adapter in adapters)

    private companion object {
        val UNLINKED_DISTANCE = 100.milliseconds
    }
}

/** Routing attributes of a request; plain services have neither model nor adapter. */
data class RoutedRequest(
    val team: TeamName,
    val service: ServiceName,
    val model: ModelName? = null,
    val adapter: ModelName? = null,
)

/** Result of [TargetFilter.select]; without candidates, no target may serve the request now. */
data class Selection(val candidates: List<PlacementCandidate>, val priority: Priority) {
    val names: List<TargetName> get() = candidates.map { it.target.name }
}
