package org.hibiscusproxy.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.TeamName

/**
 * Everything that two processes of a fleet say to each other, encoded as CBOR. Serial names are
 * short because they are part of every frame.
 */
@Serializable
sealed class PeerMessage

/** One name and value of an HTTP header. */
@Serializable
data class Header(@SerialName("n") val name: String, @SerialName("v") val value: String)

/** Messages of the data path, between an entry and a sidecar. */
@Serializable
sealed class DataMessage : PeerMessage() {
    /** The attempt that the message is about. */
    abstract val attempt: Attempt
}

/**
 * Asks a sidecar to run one attempt.
 *
 * @property incarnation incarnation of the sidecar that the attempt is meant for
 * @property remainingMilliseconds time left until the request's deadline
 * @property repeatable whether the request may run again after an unknown outcome
 * @property fingerprint hash of the content, to recognise requests that crash targets
 * @property prefixKey placement key of the chat; 0 when the request has none
 * @property mayWait whether the sidecar may queue the attempt when there is no room
 * @property onlyIfCached run only when the sidecar believes the chat's prefix cached
 * @property followsPointer answer with the target the chat went to, if the sidecar knows one
 */
@Serializable
@SerialName("d")
data class Dispatch(
    @SerialName("a") override val attempt: Attempt,
    @SerialName("i") val incarnation: Incarnation,
    @SerialName("t") val team: TeamName,
    @SerialName("s") val service: ServiceName,
    @SerialName("p") val priority: Priority,
    @SerialName("m") val remainingMilliseconds: Long,
    @SerialName("r") val repeatable: Boolean,
    @SerialName("f") val fingerprint: Fingerprint,
    @SerialName("x") val method: String,
    @SerialName("u") val path: String,
    @SerialName("h") val headers: List<Header>,
    @SerialName("b") val body: Payload,
    @SerialName("k") val prefixKey: Long = 0,
    @SerialName("w") val mayWait: Boolean = true,
    @SerialName("o") val onlyIfCached: Boolean = false,
    @SerialName("g") val followsPointer: Boolean = false,
) : DataMessage()

/** Tells the sidecar of a chat's home that the chat with [prefixKey] was admitted at [target]. */
@Serializable
@SerialName("p")
data class ChatPlaced(
    @SerialName("a") override val attempt: Attempt,
    @SerialName("k") val prefixKey: Long,
    @SerialName("t") val target: TargetName,
) : DataMessage()

/**
 * The attempt did not run and never will.
 *
 * @property servedBy target that the chat went to, with [NotRunReason.CACHED_ELSEWHERE]
 */
@Serializable
@SerialName("n")
data class NotRun(
    @SerialName("a") override val attempt: Attempt,
    @SerialName("r") val reason: NotRunReason,
    @SerialName("l") val load: LoadReport,
    @SerialName("w") val retryAfterMilliseconds: Long = 0,
    @SerialName("s") val servedBy: TargetName? = null,
) : DataMessage()

/** The target began to answer. */
@Serializable
@SerialName("h")
data class ResponseHead(
    @SerialName("a") override val attempt: Attempt,
    @SerialName("s") val status: Int,
    @SerialName("h") val headers: List<Header>,
) : DataMessage()

/** Part of the answer's body; [index] counts from 0 without gaps. */
@Serializable
@SerialName("c")
data class ResponseChunk(
    @SerialName("a") override val attempt: Attempt,
    @SerialName("i") val index: Int,
    @SerialName("b") val body: Payload,
) : DataMessage()

/** The answer is complete after [chunks] chunks. */
@Serializable
@SerialName("e")
data class ResponseEnd(
    @SerialName("a") override val attempt: Attempt,
    @SerialName("c") val chunks: Int,
    @SerialName("l") val load: LoadReport,
) : DataMessage()

/** The answer ended early. The request may have run. */
@Serializable
@SerialName("k")
data class ResponseBroken(
    @SerialName("a") override val attempt: Attempt,
    @SerialName("r") val reason: BrokenReason,
    @SerialName("l") val load: LoadReport,
) : DataMessage()

/** The caller left or the deadline passed; the sidecar cancels the work at the target. */
@Serializable
@SerialName("x")
data class Cancel(@SerialName("a") override val attempt: Attempt) : DataMessage()

/** Messages about control state, between controllers and all other processes. */
@Serializable
sealed class ControlMessage : PeerMessage()

/**
 * A sidecar reports and asks for its next lease, which it counts from when it sent this.
 *
 * @property number matches the answer to the request
 * @property knownVersion newest version the sidecar has acted on
 */
@Serializable
@SerialName("lq")
data class LeaseRequest(
    @SerialName("n") val number: Long,
    @SerialName("t") val target: TargetName,
    @SerialName("i") val incarnation: Incarnation,
    @SerialName("l") val load: LoadReport,
    @SerialName("v") val knownVersion: Long,
) : ControlMessage()

/** A lease; see decision 4 of the design page. */
@Serializable
@SerialName("lg")
data class LeaseGrant(
    @SerialName("n") val number: Long,
    @SerialName("t") val target: TargetName,
    @SerialName("v") val version: Long,
    @SerialName("s") val state: OperationalState,
    @SerialName("f") val fencingNumber: Long,
    @SerialName("d") val durationMilliseconds: Long,
    @SerialName("p") val pool: PoolLoad,
) : ControlMessage()

/** Why a controller grants no lease or takes no request. */
@Serializable
enum class ControlRefusal {
    /** This controller is not the leader. */
    @SerialName("not-leader")
    NOT_LEADER,

    /** The leader has not heard from a majority for too long. */
    @SerialName("no-majority")
    NO_MAJORITY,

    /** The published objects have no such target. */
    @SerialName("unknown-target")
    UNKNOWN_TARGET,

    /** Another incarnation of the sidecar holds the lease. */
    @SerialName("other-incarnation")
    OTHER_INCARNATION,

    /** The control state holds as much of this kind as it may. */
    @SerialName("full")
    FULL,
}

/** No lease; [leader] is the leader's name if this controller knows it. */
@Serializable
@SerialName("lr")
data class LeaseRefusal(
    @SerialName("n") val number: Long,
    @SerialName("r") val reason: ControlRefusal,
    @SerialName("l") val leader: ProcessName? = null,
) : ControlMessage()

/** Something newer than the sidecar's lease is effective; it renews at once. */
@Serializable
@SerialName("ln")
data class LeaseRenewNow(@SerialName("v") val version: Long) : ControlMessage()

/** The sidecar acts on [version]. */
@Serializable
@SerialName("la")
data class LeaseAcknowledgement(
    @SerialName("t") val target: TargetName,
    @SerialName("i") val incarnation: Incarnation,
    @SerialName("v") val version: Long,
) : ControlMessage()

/** Asks for the fleet's state if it is newer than [knownVersion], now and on each change. */
@Serializable
@SerialName("cq")
data class ConfigurationRequest(@SerialName("v") val knownVersion: Long) : ControlMessage()

/**
 * What the subscriber was sent last is still all that concerns it at [version]. It can confirm the
 * version without being sent the same objects again.
 */
@Serializable
@SerialName("cc")
data class ConfigurationCurrent(@SerialName("v") val version: Long) : ControlMessage()

/** The whole state at its version. */
@Serializable
@SerialName("cu")
data class ConfigurationUpdate(@SerialName("s") val state: FleetState) : ControlMessage()

/** Claims a non-repeatable request for one attempt before it is dispatched. */
@Serializable
@SerialName("kq")
data class ClaimRequest(
    @SerialName("n") val number: Long,
    @SerialName("k") val key: ClaimKey,
    @SerialName("f") val content: Fingerprint,
    @SerialName("a") val attempt: Attempt,
    @SerialName("m") val remainingMilliseconds: Long,
) : ControlMessage()

/** Answer to a claim request with the same number. */
@Serializable
@SerialName("ka")
data class ClaimAnswer(
    @SerialName("n") val number: Long,
    @SerialName("o") val outcome: ClaimOutcome,
) : ControlMessage()

/** The claimed attempt did not run, so that another attempt may be claimed. */
@Serializable
@SerialName("kr")
data class ClaimRelease(
    @SerialName("n") val number: Long,
    @SerialName("k") val key: ClaimKey,
    @SerialName("a") val attempt: Attempt,
) : ControlMessage()

/** The claimed attempt was answered. */
@Serializable
@SerialName("kc")
data class ClaimCompletion(
    @SerialName("n") val number: Long,
    @SerialName("k") val key: ClaimKey,
    @SerialName("a") val attempt: Attempt,
    @SerialName("s") val answer: StoredAnswer,
) : ControlMessage()

/**
 * A claim release or completion with the same number is durable, or was refused as [accepted] false.
 *
 * @property refusal set when this controller could not decide; the message is to be sent again, to
 *   [leader] if that is known
 */
@Serializable
@SerialName("kk")
data class ClaimAcknowledgement(
    @SerialName("n") val number: Long,
    @SerialName("a") val accepted: Boolean,
    @SerialName("r") val refusal: ControlRefusal? = null,
    @SerialName("l") val leader: ProcessName? = null,
) : ControlMessage()

/** A target crashed with these requests in flight. */
@Serializable
@SerialName("rr")
data class CrashReport(
    @SerialName("t") val target: TargetName,
    @SerialName("f") val fingerprints: List<Fingerprint>,
) : ControlMessage()

/** Requests that crashed two targets or more and are refused for [remainingMilliseconds]. */
@Serializable
@SerialName("rl")
data class CrashList(
    @SerialName("f") val fingerprints: List<Fingerprint>,
    @SerialName("m") val remainingMilliseconds: Long,
) : ControlMessage()

/**
 * An order for the engine beside a sidecar.
 *
 * @property number the same in each resend of the order, also by another leader
 * @property incarnation incarnation of the sidecar that the order is meant for
 * @property kind what to do, in the engine's words, such as `load-model`
 */
@Serializable
@SerialName("oq")
data class EngineOrder(
    @SerialName("n") val number: Long,
    @SerialName("t") val target: TargetName,
    @SerialName("i") val incarnation: Incarnation,
    @SerialName("k") val kind: String,
    @SerialName("v") val value: String,
) : ControlMessage()

/** Outcome of the order of [target] with the same number. */
@Serializable
@SerialName("oa")
data class EngineOrderResult(
    @SerialName("n") val number: Long,
    @SerialName("t") val target: TargetName,
    @SerialName("o") val outcome: OrderOutcome,
) : ControlMessage()

/** A message of the replicated log, whose content belongs to the consensus package. */
@Serializable
@SerialName("cm")
data class ConsensusEnvelope(@SerialName("b") val content: Payload) : ControlMessage()

/** First message on a connection in each direction. */
@Serializable
@SerialName("hi")
data class Hello(
    @SerialName("p") val process: ProcessName,
    @SerialName("c") val dataCenter: DataCenterName,
    @SerialName("i") val incarnation: Incarnation,
    @SerialName("t") val target: TargetName? = null,
) : PeerMessage()
