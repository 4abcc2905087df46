package org.hibiscusproxy.forwarding

import org.hibiscusproxy.model.TeamName

/** Validates a [RoutingConfiguration] and reports all faults together. */
object RoutingCheck {
    /** Returns all faults of [configuration]; empty if it can be published. */
    fun faults(configuration: RoutingConfiguration): List<RoutingFault> = buildList {
        val services = configuration.services.mapTo(HashSet()) { it.name }
        for (route in configuration.routes) {
            route.shares.map { it.service }.filter { it !in services }.distinct().forEach {
                add(RoutingFault.UnknownService(route.name, it))
            }
            val isWeighted = route.shares.none { it.weight < 0 } &&
                route.shares.any { it.weight > 0 }
            if (!isWeighted) add(RoutingFault.NoWeight(route.name))
            if (route.timeoutMilliseconds <= 0) {
                add(RoutingFault.NoTimeout(route.name, route.timeoutMilliseconds))
            }
        }
        addAll(duplicateRoutes(configuration.routes))
        addAll(sharedKeys(configuration.teams))
    }

    private fun duplicateRoutes(routes: List<ForwardingRoute>): List<RoutingFault> = routes
        .groupBy { it.host.lowercase() to it.pathPrefix }
        .filterValues { it.size > 1 }
        .keys
        .map { (host, prefix) -> RoutingFault.DuplicateRoute(host, prefix) }

    private fun sharedKeys(teams: List<TeamAccess>): List<RoutingFault> {
        val owners = HashMap<String, TeamName>()
        return teams.flatMap { team ->
            team.keys.mapNotNull { key ->
                val first = owners.putIfAbsent(key, team.name)
                first?.takeIf { it != team.name }?.let { RoutingFault.SharedKey(it, team.name) }
            }
        }
    }
}
