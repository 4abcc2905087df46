package org.hibiscusproxy.forwarding

import org.hibiscusproxy.model.ServiceName

/** Finds routes, teams and services of one [configuration] in constant time. */
class RouteIndex(val configuration: RoutingConfiguration) {
    private val routesByHost: Map<String, Map<String, ForwardingRoute>> = configuration.routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, routes) -> routes.associateBy { it.pathPrefix } }
    private val teamsByKey: Map<String, TeamAccess> = buildMap {
        configuration.teams.forEach { team -> team.keys.forEach { put(it, team) } }
    }
    private val services: Map<ServiceName, ForwardingService> =
        configuration.services.associateBy { it.name }

    /** Whether callers of routes that are not public need an access key. */
    val needsKeys: Boolean get() = configuration.teams.isNotEmpty()

    /** The route of [host] with the longest prefix that begins [path]; null when there is none. */
    fun route(host: String, path: String): ForwardingRoute? {
        val routes = routesByHost[host.substringBefore(':').lowercase()] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            routes[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }

    /** The team that holds [key]. */
    fun team(key: String): TeamAccess? = teamsByKey[key]

    /** The service called [name]. */
    fun service(name: ServiceName): ForwardingService? = services[name]
}
