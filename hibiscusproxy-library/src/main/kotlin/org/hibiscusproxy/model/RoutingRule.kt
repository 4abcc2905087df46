package org.hibiscusproxy.model

import kotlinx.serialization.Serializable

/**
 * Narrows the targets of matching requests. A null condition matches every request. The first
 * matching rule in the order of the objects applies; without one all targets of the service do.
 *
 * @property targets targets the matching requests may use; empty means all of the service
 * @property dataCenters data centres the matching requests may use; empty means all
 * @property priority replaces the team's default priority when set
 */
@Serializable
data class RoutingRule(
    val name: RoutingRuleName,
    val service: ServiceName,
    val team: TeamName? = null,
    val model: ModelName? = null,
    val adapter: ModelName? = null,
    val targets: List<TargetName> = emptyList(),
    val dataCenters: List<DataCenterName> = emptyList(),
    val priority: Priority? = null,
)
