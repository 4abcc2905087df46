package org.hibiscusproxy.daemon.controller

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.hibiscusproxy.control.ChangeIdentifier
import org.hibiscusproxy.control.ChangeOutcome
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.OrderOutcome

/** JSON encoding of the operators' interface, shared by server and client. */
object OperatorJson {
    /** Format of all request and response bodies. */
    val format: Json = Json {
        encodeDefaults = true
        explicitNulls = false
    }
}

/** Body of `POST /objects`. */
@Serializable
data class PublishBody(val change: ChangeIdentifier, val basedOn: Long, val objects: FleetObjects)

/** Body of `POST /data-centers/{name}/{in|out}` and `POST /targets/{name}/{in|out}`. */
@Serializable
data class StateBody(val change: ChangeIdentifier, val basedOn: Long? = null)

/**
 * Body of `POST /targets/{name}/orders`.
 *
 * @property change identifies the order; a resend with the same identifier is not executed again
 *   unless the target's sidecar has restarted in between
 */
@Serializable
data class OrderBody(val change: ChangeIdentifier, val kind: String, val value: String)

/** Answer to `POST /targets/{name}/orders`. */
@Serializable
data class OrderReport(
    val change: ChangeIdentifier,
    val target: TargetName,
    val outcome: OrderOutcome,
)

/** Body of `POST /members`. */
@Serializable
data class MemberBody(
    val action: MemberAction,
    val process: ProcessName,
    val identity: Long? = null,
)

/** Kind of membership change. */
@Serializable
enum class MemberAction {
    /** Add a process as a non-voter; requires its identity. */
    @SerialName("add")
    ADD,

    /** Promote a member that has caught up to a voter. */
    @SerialName("promote")
    PROMOTE,

    /** Remove a member. */
    @SerialName("remove")
    REMOVE,
}

/** Answer to a change and to `GET /changes/{id}`. */
@Serializable
data class ChangeReport(
    val change: ChangeIdentifier,
    val outcome: ChangeOutcome,
    val progress: ProgressReport? = null,
)

/**
 * Progress of a version towards being in force everywhere.
 *
 * @property isInForce whether no sidecar can act on an earlier version
 * @property sinceMilliseconds time since the leader found it in force
 * @property withinMilliseconds time until it is in force at the latest
 * @property unconfirmedTargets targets that may still act on an earlier version
 * @property unconfirmedProcesses other processes that have not confirmed it; nothing depends on
 *   them, as sidecars decide what runs
 */
@Serializable
data class ProgressReport(
    val version: Long,
    val isInForce: Boolean,
    val sinceMilliseconds: Long? = null,
    val withinMilliseconds: Long? = null,
    val unconfirmedTargets: List<UnconfirmedReport> = emptyList(),
    val unconfirmedProcesses: List<ProcessName> = emptyList(),
)

/** A target that acts on the version within [withinMilliseconds] at the latest. */
@Serializable
data class UnconfirmedReport(val target: TargetName, val withinMilliseconds: Long)

/** Answer to `GET /status`. */
@Serializable
data class StatusReport(
    val name: ProcessName,
    val role: String,
    val term: Long,
    val leader: ProcessName? = null,
    val version: Long,
    val commitIndex: Long,
    val appliedIndex: Long,
    val claims: Int,
    val leases: Int? = null,
    val members: List<MemberReport>,
    val strangers: List<StrangerReport>,
    val rollouts: List<RolloutReport> = emptyList(),
)

/**
 * The latest rollout of a service.
 *
 * @property phase phase in which it is, `completed` or `rolled-back`
 * @property reason why it entered that phase
 * @property remainingMilliseconds time until the deadline by the applied fleet clock; null if it
 * has ended
 */
@Serializable
data class RolloutReport(
    val service: ServiceName,
    val version: SoftwareVersion,
    val phase: String,
    val reason: String,
    val remainingMilliseconds: Long? = null,
)

/** A member of the consensus cluster. */
@Serializable
data class MemberReport(val process: ProcessName, val identity: Long, val isVoter: Boolean)

/** A process that announced itself but is not a member; it can be added with this identity. */
@Serializable
data class StrangerReport(val process: ProcessName, val identity: Long)

/** Body of every error response. */
@Serializable
data class OperatorError(
    val type: OperatorErrorType,
    val message: String,
    val leader: ProcessName? = null,
    val leaderAddress: NetworkAddress? = null,
)

/** Error types of the operators' interface and their HTTP status codes. */
@Serializable
enum class OperatorErrorType(val status: Int) {
    /** The call is not signed with the fleet key, is too old, or was received before. */
    @SerialName("not-authenticated")
    NOT_AUTHENTICATED(401),

    /** The call is malformed. */
    @SerialName("bad-request")
    BAD_REQUEST(400),

    /** No such change, target or path exists. */
    @SerialName("not-found")
    NOT_FOUND(404),

    /** This controller is not the leader. Nothing was done. */
    @SerialName("not-leader")
    NOT_LEADER(421),

    /** The membership change was refused. */
    @SerialName("membership-refused")
    MEMBERSHIP_REFUSED(409),

    /** The leader changed and the change may or may not take effect. Resend it unchanged. */
    @SerialName("outcome-unknown")
    OUTCOME_UNKNOWN(504),

    /** An internal error, or the controller is overloaded or has stopped. */
    @SerialName("internal")
    INTERNAL(500),
}
