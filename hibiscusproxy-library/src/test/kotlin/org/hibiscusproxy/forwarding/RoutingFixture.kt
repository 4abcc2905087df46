package org.hibiscusproxy.forwarding

import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.TeamName

/** Routes, services and targets for tests. */
internal object RoutingFixture {
    val engines = ServiceName("engines")
    val orders = ServiceName("orders")

    fun route(
        name: String = "chat",
        host: String = "calls.example",
        prefix: String = "/chat/",
        kind: RequestKind = RequestKind.STREAMING,
        shares: List<ServiceShare> = listOf(ServiceShare(engines, 1)),
        timeoutMilliseconds: Long = 5_000,
    ) = ForwardingRoute(name, host, prefix, kind, timeoutMilliseconds, 300, shares = shares)

    val services = listOf(
        ForwardingService(
            engines,
            "/health",
            300,
            coldRequestsPerSecond = 20.0,
            engine = EngineCapacity(48, 400_000),
        ),
        ForwardingService(orders, "/health", 100),
    )

    fun configuration(
        version: Long = 1,
        routes: List<ForwardingRoute> = listOf(route()),
        teams: List<TeamAccess> = emptyList(),
    ) = RoutingConfiguration(version, routes, services, teams)

    fun target(
        number: Int,
        service: ServiceName = engines,
        slots: Int = 48,
        coldMilliseconds: Long = 0,
        isLeaving: Boolean = false,
        startedAt: Long? = null,
    ) = DiscoveredTarget(
        TargetName("$service-$number"),
        service,
        NetworkAddress("10.0.0.$number", 8080),
        DataCenterName("dc-${number % 3}"),
        isLeaving,
        slots,
        coldMilliseconds,
        startedAt,
    )

    fun team(name: String, vararg keys: String) = TeamAccess(TeamName(name), keys.toList())
}
