package org.hibiscusproxy.forwarding

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion

/** A software version of the targets of a service; null if the platform's list does not tell it. */
@Serializable
data class ServiceVersion(
    @SerialName("s") val service: ServiceName,
    @SerialName("v") val version: SoftwareVersion?,
)
