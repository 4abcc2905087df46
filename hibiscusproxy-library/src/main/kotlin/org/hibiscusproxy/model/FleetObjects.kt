package org.hibiscusproxy.model

import kotlinx.serialization.Serializable

/** Complete set of objects, which operators publish together. */
@Serializable
data class FleetObjects(
    val teams: List<Team> = emptyList(),
    val services: List<Service> = emptyList(),
    val dataCenters: List<DataCenter> = emptyList(),
    val links: List<Link> = emptyList(),
    val targets: List<Target> = emptyList(),
    val routingRules: List<RoutingRule> = emptyList(),
)
