package org.hibiscusproxy.forwarding

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion

/**
 * Versions at which streams may have begun that callers may still take up.
 *
 * @property revision incremented by each change of [versions]
 */
@Serializable
data class RegisteredVersions(
    @SerialName("r") val revision: Long = 0,
    @SerialName("v") val versions: Set<ServiceVersion> = emptySet(),
) {
    /** Returns the versions of [service]. */
    fun of(service: ServiceName): Set<SoftwareVersion?> =
        versions.filter { it.service == service }.mapTo(LinkedHashSet()) { it.version }
}
