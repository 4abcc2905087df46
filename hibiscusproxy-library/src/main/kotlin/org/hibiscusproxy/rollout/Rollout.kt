package org.hibiscusproxy.rollout

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.control.FleetInstant
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion

/**
 * An operator's order to move the traffic of [service] to the targets of [version]. It is part of
 * the replicated routing, so forwarders learn each change of it with a new routing revision.
 *
 * @property number identifies the order; higher for each later one
 * @property orderedAt fleet time at which the order was accepted
 * @property durationMilliseconds time from [orderedAt] until the deadline
 * @property reason why the rollout entered its [phase], for operators
 */
@Serializable
data class Rollout(
    @SerialName("s") val service: ServiceName,
    @SerialName("n") val number: Long,
    @SerialName("v") val version: SoftwareVersion,
    @SerialName("a") val orderedAt: FleetInstant,
    @SerialName("d") val durationMilliseconds: Long,
    @SerialName("p") val phase: RolloutPhase,
    @SerialName("r") val reason: String = "",
) {
    /** Fleet time by which the rollout has to end. */
    val deadline: FleetInstant get() = orderedAt + durationMilliseconds.milliseconds
}

/** Phase of a [Rollout]; it determines which share of the requests the new version gets. */
@Serializable
enum class RolloutPhase {
    /** The new version gets a small share, bounded over the whole fleet, and is evaluated. */
    @SerialName("t")
    TRIAL,

    /** The new version gets half of the requests for a short time, to be evaluated under load. */
    @SerialName("e")
    EXPANDING,

    /** New requests go to the new version; requests in progress at other versions end. */
    @SerialName("m")
    MOVING,

    /** The new version serves; the targets of the other versions may stop at any moment. */
    @SerialName("c")
    COMPLETED,

    /** The new version is bad and gets no request. */
    @SerialName("b")
    ROLLED_BACK,
    ;

    /** Whether the rollout has not ended yet. */
    val isRunning: Boolean
        get() = when (this) {
            TRIAL, EXPANDING, MOVING -> true
            COMPLETED, ROLLED_BACK -> false
        }

    /** Name for log lines and operators. */
    val label: String get() = name.lowercase().replace('_', '-')
}
