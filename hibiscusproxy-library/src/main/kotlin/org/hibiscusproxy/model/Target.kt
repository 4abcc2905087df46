package org.hibiscusproxy.model

import kotlinx.serialization.Serializable

/**
 * A back end with its sidecar: a model engine or an instance of a plain service.
 *
 * @property sidecar address at which entries reach the target's sidecar
 * @property capacity maximum number of concurrent requests when the target is warm
 * @property coldCapacity maximum number of concurrent requests during a cold start
 * @property weight share of the service's chats relative to the other targets
 * @property checksFencing whether the engine itself rejects orders with an old fencing number
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
