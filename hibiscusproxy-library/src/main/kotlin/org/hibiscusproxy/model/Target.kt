package org.hibiscusproxy.model

import kotlinx.serialization.Serializable

/**
 * One back end: a model engine or an instance of a plain service, with the sidecar that stands
 * beside it.
 *
 * @property sidecar where entries reach the target's sidecar
 * @property capacity requests the target bears at once when it is warm
 * @property coldCapacity requests the target bears at once in cold start
 * @property weight share of the service's chats relative to the other targets
 * @property checksFencing whether the engine itself refuses orders with an old fencing number
 */
@Serializable
data class Target(
    val name: TargetName,
    val service: ServiceName,
    val dataCenter: DataCenterName,
    val sidecar: NetworkAddress,
    val models: List<ModelName> = emptyList(),
    val adapters: List<ModelName> = emptyList(),
    val capacity: Int = 16,
    val coldCapacity: Int = 2,
    val weight: Double = 1.0,
    val checksFencing: Boolean = false,
)
