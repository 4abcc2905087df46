package org.hibiscusproxy.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Outcome of an order to an engine. */
@Serializable
sealed class OrderOutcome {
    /** The engine accepted the order under [fencingNumber]. */
    @Serializable
    @SerialName("accepted")
    data class Accepted(val fencingNumber: Long) : OrderOutcome()

    /** The engine rejected the order with HTTP [status]. */
    @Serializable
    @SerialName("refused-by-engine")
    data class RefusedByEngine(val reason: EngineRefusal, val status: Int) : OrderOutcome()

    /** No byte of the order was sent to the engine, and none will be under the same number. */
    @Serializable
    @SerialName("not-sent")
    data class NotSent(val reason: NotSentReason) : OrderOutcome()

    /** The order was or may have been sent, and whether the engine executed it is unknown. */
    @Serializable
    @SerialName("outcome-unknown")
    data object Unknown : OrderOutcome()
}

/** Why an engine rejected an order. */
@Serializable
enum class EngineRefusal {
    /** The engine has already seen a higher fencing number. */
    @SerialName("stale-fencing-number")
    STALE_FENCING_NUMBER,

    /** The kind of order is unknown to the engine, or its value is invalid. */
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

    /** No sidecar of the target's current incarnation is connected to the leader. */
    @SerialName("not-connected")
    NOT_CONNECTED,

    /** The number was already used for an order of another kind or value. */
    @SerialName("number-reused")
    NUMBER_REUSED,

    /** The sidecar's queue of orders for the engine is full. */
    @SerialName("overloaded")
    OVERLOADED,
}
