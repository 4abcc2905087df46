package org.hibiscusproxy.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.rollout.Rollout

/** Outcome of an operator's order to start a rollout. */
@Serializable
sealed class RolloutOutcome {
    /** [rollout] is what the order asks for; it was started now or by an earlier order. */
    @Serializable
    @SerialName("accepted")
    data class Accepted(val rollout: Rollout) : RolloutOutcome()

    /** The order has no effect. */
    @Serializable
    sealed class Refused : RolloutOutcome()

    /** A different rollout of the service is [running]. */
    @Serializable
    @SerialName("conflict")
    data class Conflict(val running: Rollout) : Refused()

    /** The newest configuration does not name the service. */
    @Serializable
    @SerialName("unknown-service")
    data object UnknownService : Refused()

    /** No configuration has been published. */
    @Serializable
    @SerialName("no-configuration")
    data object NoConfiguration : Refused()
}
