package org.hibiscusproxy.forwarding

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.model.TargetName

/**
 * A target as listed by the platform. A name usually identifies one incarnation; a target that
 * restarts under the same name has a different [startedAt].
 *
 * @property isLeaving whether it accepts no new requests
 * @property slots number of requests that it runs concurrently
 * @property coldMilliseconds remaining time during which it sustains only light load
 * @property startedAt start time in epoch milliseconds, if the list contains it
 * @property version its software version, if the list contains it
 */
@Serializable
data class DiscoveredTarget(
    @SerialName("n") val name: TargetName,
    @SerialName("s") val service: ServiceName,
    @SerialName("a") val address: NetworkAddress,
    @SerialName("d") val dataCenter: DataCenterName,
    @SerialName("l") val isLeaving: Boolean,
    @SerialName("o") val slots: Int,
    @SerialName("c") val coldMilliseconds: Long = 0,
    @SerialName("b") val startedAt: Long? = null,
    @SerialName("v") val version: SoftwareVersion? = null,
) {
    /** Whether [next] is the same incarnation of the target. */
    fun isSameIncarnation(next: DiscoveredTarget): Boolean = next.service == service &&
        next.address == address &&
        next.version == version &&
        (next.startedAt == null || startedAt == null || next.startedAt == startedAt)
}
