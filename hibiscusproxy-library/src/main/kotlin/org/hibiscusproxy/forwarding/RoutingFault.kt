package org.hibiscusproxy.forwarding

import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TeamName

/** Why a [RoutingConfiguration] cannot be published. */
sealed class RoutingFault {
    /** One sentence for the operator. */
    abstract val message: String

    /** The document is not a configuration. */
    data class Unreadable(val cause: String) : RoutingFault() {
        override val message = "the configuration cannot be read: $cause"
    }

    /** A route sends requests to a service that is not defined. */
    data class UnknownService(val route: String, val service: ServiceName) : RoutingFault() {
        override val message = "route $route names the unknown service $service"
    }

    /** Two routes match the same requests. */
    data class DuplicateRoute(val host: String, val pathPrefix: String) : RoutingFault() {
        override val message = "two routes share host $host and prefix $pathPrefix"
    }

    /** No service of the route has a positive weight. */
    data class NoWeight(val route: String) : RoutingFault() {
        override val message = "the weights of route $route add up to 0 or less"
    }

    /** The route has no time to answer. */
    data class NoTimeout(val route: String, val milliseconds: Long) : RoutingFault() {
        override val message = "the timeout of route $route must be positive: $milliseconds ms"
    }

    /** Two teams have the same access key, which is not repeated here. */
    data class SharedKey(val first: TeamName, val second: TeamName) : RoutingFault() {
        override val message = "teams $first and $second share an access key"
    }
}
