package org.hibiscusproxy.forwarding

import org.hibiscusproxy.model.ServiceName

/** Hash indexes of the routes, teams and services of [configuration]. */
class RouteIndex(val configuration: RoutingConfiguration) {
    private val routesByHost: Map<String, Map<String, ForwardingRoute>> = configuration.routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, routes) -> routes.associateBy { it.pathPrefix } }
    private val teamsByKey: Map<String, TeamAccess> = buildMap {
        configuration.teams.forEach { team -> team.keys.forEach { put(it, team) } }
    }
    private val services: Map<ServiceName, ForwardingService> =
        configuration.services.associateBy { it.name }

    /** Whether non-public routes require an access key. */
    val needsKeys: Boolean get() = configuration.teams.isNotEmpty()

    /** Returns the route of [host] with the longest prefix of [path], or null if none matches. */
    fun route(host: String, path: String): ForwardingRoute? {
        val routes = routesByHost[host.substringBefore(':').lowercase()] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            routes[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }

    /** Returns the team that owns [key]. */
    fun team(key: String): TeamAccess? = teamsByKey[key]

    fun service(name: ServiceName): ForwardingService? = services[name]
}
