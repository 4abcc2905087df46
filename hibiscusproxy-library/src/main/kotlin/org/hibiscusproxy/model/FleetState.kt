package org.hibiscusproxy.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a data centre or a target takes new work. */
@Serializable
enum class OperationalState {
    /** Takes new work. */
    @SerialName("in")
    IN,

    /** Finishes what is in progress and takes no new work. */
    @SerialName("out")
    OUT,
}

/**
 * What is effective in the fleet at one version: the published objects and the operational states,
 * which are kept apart so that publishing an older file does not undo a take-out.
 *
 * @property version counts every accepted change, of objects and of states
 * @property dataCentersOut data centres that take no new work
 * @property targetsOut targets that take no new work
 */
@Serializable
data class FleetState(
    val version: Long = 0,
    val objects: FleetObjects = FleetObjects(),
    val dataCentersOut: Set<DataCenterName> = emptySet(),
    val targetsOut: Set<TargetName> = emptySet(),
) {
    /** State of [target], which is out when its data centre is. */
    fun stateOf(target: Target): OperationalState = when {
        target.name in targetsOut -> OperationalState.OUT
        target.dataCenter in dataCentersOut -> OperationalState.OUT
        else -> OperationalState.IN
    }
}
