package org.hibiscusproxy.model

import kotlinx.serialization.Serializable

/** A data centre of the fleet. Operators can take it out of service and return it as a whole. */
@Serializable
data class DataCenter(val name: DataCenterName, val region: String)
