package org.hibiscusproxy.model

import kotlinx.serialization.Serializable

/** Network distance between two data centres, the same in both directions. */
@Serializable
data class Link(
    val first: DataCenterName,
    val second: DataCenterName,
    val oneWayMilliseconds: Double,
)
