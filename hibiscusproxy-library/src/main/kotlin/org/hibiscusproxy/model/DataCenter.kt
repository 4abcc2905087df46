package org.hibiscusproxy.model

import kotlinx.serialization.Serializable

/** A data centre of the fleet, which operators take out of service and back as a whole. */
@Serializable
data class DataCenter(val name: DataCenterName, val region: String)
