package org.hibiscusproxy.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a data centre or a target takes new work. */
@Serializable
enum class OperationalState {
    /** Takes new work. */
    @SerialName("in")
    IN,

    /** Finishes work in progress and takes no new work. */
    @SerialName("out")
    OUT,
}

/**
 * Effective state of the fleet at one version: the published objects and the operational states.
 * They are kept apart, so that publishing an older file does not return what was taken out.
 *
 * @property version incremented by each effective change of objects or states
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
    /** Returns the state of [target], which is out if the target or its data centre is out. */
    fun stateOf(target: Target): OperationalState = when {
        target.name in targetsOut -> OperationalState.OUT
        target.dataCenter in dataCentersOut -> OperationalState.OUT
        else -> OperationalState.IN
    }
}
