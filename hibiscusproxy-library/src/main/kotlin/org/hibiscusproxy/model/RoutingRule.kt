package org.hibiscusproxy.model

import kotlinx.serialization.Serializable

/**
 * Restricts the targets of matching requests. A null condition matches every request. The first
 * matching rule in the order of the objects applies. Requests without a matching rule may use all
 * targets of the service.
 *
 * @property targets targets that matching requests may use; empty for all targets of the service
 * @property dataCenters data centres that matching requests may use; empty for all
 * @property priority overrides the team's default priority if set
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
