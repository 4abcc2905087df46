package org.hibiscusproxy.model

import kotlinx.serialization.Serializable

/** Symmetric network latency between two data centres. */
@Serializable
data class Link(
    val first: DataCenterName,
    val second: DataCenterName,
    val oneWayMilliseconds: Double,
)
