package org.hibiscusproxy.forwarding

import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TeamName

/** A fault that prevents a [RoutingConfiguration] from being published. */
sealed class RoutingFault {
    /** Description shown to the operator. */
    abstract val message: String

    /** The document cannot be parsed as a configuration. */
    data class Unreadable(val cause: String) : RoutingFault() {
        override val message = "the configuration cannot be read: $cause"
    }

    /** A route refers to an undefined service. */
    data class UnknownService(val route: String, val service: ServiceName) : RoutingFault() {
        override val message = "route $route names the unknown service $service"
    }

    /** Two routes have the same host and path prefix. */
    data class DuplicateRoute(val host: String, val pathPrefix: String) : RoutingFault() {
        override val message = "two routes share host $host and prefix $pathPrefix"
    }

    /** No service of the route has a positive weight. */
    data class NoWeight(val route: String) : RoutingFault() {
        override val message = "the weights of route $route add up to 0 or less"
    }

    /** The timeout of the route is not positive. */
    data class NoTimeout(val route: String, val milliseconds: Long) : RoutingFault() {
        override val message = "the timeout of route $route must be positive: $milliseconds ms"
    }

    /** Two teams have the same access key. The message omits the key because it is secret. */
    data class SharedKey(val first: TeamName, val second: TeamName) : RoutingFault() {
        override val message = "teams $first and $second share an access key"
    }
}
