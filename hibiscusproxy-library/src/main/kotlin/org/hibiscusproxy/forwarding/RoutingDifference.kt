package org.hibiscusproxy.forwarding

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The difference between two [RoutingConfiguration]s. Routes are identified by their unique host
 * and path prefix; their order is irrelevant.
 *
 * @property services all services, or null if unchanged
 * @property teams all teams, or null if unchanged
 */
@Serializable
data class RoutingDifference(
    val version: Long,
    val removed: List<RouteKey> = emptyList(),
    val changed: List<ForwardingRoute> = emptyList(),
    val services: List<ForwardingService>? = null,
    val teams: List<TeamAccess>? = null,
    val limits: CallerLimits,
) {
    /** Returns [base] with this difference applied. */
    fun applyTo(base: RoutingConfiguration): RoutingConfiguration {
        val replaced = removed.toSet() + changed.map { it.key }
        return RoutingConfiguration(
            version = version,
            routes = base.routes.filter { it.key !in replaced } + changed,
            services = services ?: base.services,
            teams = teams ?: base.teams,
            limits = limits,
        )
    }

    companion object {
        /** Returns the difference that turns [base] into [next]. */
        fun between(base: RoutingConfiguration, next: RoutingConfiguration): RoutingDifference {
            val before = base.routes.associateBy { it.key }
            val after = next.routes.mapTo(HashSet()) { it.key }
            return RoutingDifference(
                version = next.version,
                removed = before.keys.filter { it !in after },
                changed = next.routes.filter { before[it.key] != it },
                services = next.services.takeIf { it != base.services },
                teams = next.teams.takeIf { it != base.teams },
                limits = next.limits,
            )
        }
    }
}

/** Host and path prefix that identify a route. */
@Serializable
@SerialName("org.hibiscusproxy.forwarding.RoutePlace")
data class RouteKey(val host: String, val pathPrefix: String)

internal val ForwardingRoute.key: RouteKey get() = RouteKey(host, pathPrefix)
