package org.hibiscusproxy.forwarding

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TargetName

/**
 * A target as the platform's list shows it. Its name stands for one incarnation in most cases; a
 * target that starts again under its name has another [startedAt].
 *
 * @property isLeaving whether it takes no new work
 * @property slots requests that it runs at once
 * @property coldMilliseconds time for which it still sustains light load only
 * @property startedAt wall clock milliseconds of its start, if the list states it
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
)
