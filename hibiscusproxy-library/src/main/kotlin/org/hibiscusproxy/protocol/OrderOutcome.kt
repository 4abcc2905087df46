package org.hibiscusproxy.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What became of an order to an engine. */
@Serializable
sealed class OrderOutcome {
    /** The engine accepted the order under [fencingNumber]. */
    @Serializable
    @SerialName("accepted")
    data class Accepted(val fencingNumber: Long) : OrderOutcome()

    /** The engine answered with HTTP [status] that it does not carry the order out. */
    @Serializable
    @SerialName("refused-by-engine")
    data class RefusedByEngine(val reason: EngineRefusal, val status: Int) : OrderOutcome()

    /** No byte of the order reached the engine, and none will under the same number. */
    @Serializable
    @SerialName("not-sent")
    data class NotSent(val reason: NotSentReason) : OrderOutcome()

    /** The order was sent or may have been, and nobody knows what the engine did with it. */
    @Serializable
    @SerialName("outcome-unknown")
    data object Unknown : OrderOutcome()
}

/** Why an engine refused an order. */
@Serializable
enum class EngineRefusal {
    /** The engine knows a higher fencing number. */
    @SerialName("stale-fencing-number")
    STALE_FENCING_NUMBER,

    /** The engine does not know the kind of order or cannot use its value. */
    @SerialName("invalid-order")
    INVALID_ORDER,
}

/** Why an order was not sent to the engine. */
@Serializable
enum class NotSentReason {
    /** The sidecar holds no valid lease. */
    @SerialName("no-lease")
    NO_LEASE,

    /** The order was meant for another incarnation of the sidecar. */
    @SerialName("other-incarnation")
    OTHER_INCARNATION,

    /** The sidecar is shutting down. */
    @SerialName("leaving")
    LEAVING,

    /** The engine refused the connection. */
    @SerialName("engine-unreachable")
    ENGINE_UNREACHABLE,

    /** No sidecar of the target's present incarnation is connected to the leader. */
    @SerialName("not-connected")
    NOT_CONNECTED,

    /** An order with the same number and another kind or value was given before. */
    @SerialName("number-reused")
    NUMBER_REUSED,

    /** As many orders wait for the engine as the sidecar keeps. */
    @SerialName("overloaded")
    OVERLOADED,
}
