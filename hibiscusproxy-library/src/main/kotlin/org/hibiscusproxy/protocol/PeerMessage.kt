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
 * Message between two processes of a fleet, encoded as CBOR. Serial names are short because they
 * are part of every frame.
 */
@Serializable
sealed class PeerMessage

/** An HTTP header field. */
@Serializable
data class Header(@SerialName("n") val name: String, @SerialName("v") val value: String)

/** Message on the data path, between an entry and a sidecar. */
@Serializable
sealed class DataMessage : PeerMessage() {
    /** The attempt that the message refers to. */
    abstract val attempt: Attempt
}

/**
 * Asks a sidecar to run one attempt.
 *
 * @property incarnation incarnation of the sidecar that the attempt is addressed to
 * @property remainingMilliseconds time left until the request's deadline
 * @property repeatable whether the request may be run again if its outcome is unknown
 * @property fingerprint hash of the content, to recognize requests that crash targets
 * @property prefixKey placement key of the chat; 0 when the request has none
 * @property mayWait whether the sidecar may queue the attempt when the target is at its limit
 * @property onlyIfCached run only if the chat's prefix is cached as far as the sidecar knows
 * @property followsPointer whether the sidecar replies with the target that the chat was placed at,
 * if it has a pointer to one
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

/** Tells the sidecar of a chat's preferred target which [target] admitted the chat. */
@Serializable
@SerialName("p")
data class ChatPlaced(
    @SerialName("a") override val attempt: Attempt,
    @SerialName("k") val prefixKey: Long,
    @SerialName("t") val target: TargetName,
) : DataMessage()

/**
 * The attempt was not run and never will be.
 *
 * @property servedBy target that the chat was placed at, with [NotRunReason.CACHED_ELSEWHERE]
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

/** Status and headers of the target's response. */
@Serializable
@SerialName("h")
data class ResponseHead(
    @SerialName("a") override val attempt: Attempt,
    @SerialName("s") val status: Int,
    @SerialName("h") val headers: List<Header>,
) : DataMessage()

/** Part of the response body; [index] counts from 0 without gaps. */
@Serializable
@SerialName("c")
data class ResponseChunk(
    @SerialName("a") override val attempt: Attempt,
    @SerialName("i") val index: Int,
    @SerialName("b") val body: Payload,
) : DataMessage()

/** The response is complete after [chunks] chunks. */
@Serializable
@SerialName("e")
data class ResponseEnd(
    @SerialName("a") override val attempt: Attempt,
    @SerialName("c") val chunks: Int,
    @SerialName("l") val load: LoadReport,
) : DataMessage()

/** The response ended before it was complete. The request may have run. */
@Serializable
@SerialName("k")
data class ResponseBroken(
    @SerialName("a") override val attempt: Attempt,
    @SerialName("r") val reason: BrokenReason,
    @SerialName("l") val load: LoadReport,
) : DataMessage()

/** Cancels the request at the target, after the caller disconnected or the deadline passed. */
@Serializable
@SerialName("x")
data class Cancel(@SerialName("a") override val attempt: Attempt) : DataMessage()

/** Message about control state, between a controller and any other process. */
@Serializable
sealed class ControlMessage : PeerMessage()

/**
 * Reports a sidecar's load and requests its next lease, whose duration starts when this is sent.
 *
 * @property number matches the reply to the request
 * @property knownVersion latest version that the sidecar has applied
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

/** Grants a lease; see decision 4 of the design page. */
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

/** Why a controller refuses a lease or another request. */
@Serializable
enum class ControlRefusal {
    /** This controller is not the leader. */
    @SerialName("not-leader")
    NOT_LEADER,

    /** The leader has had no contact with a majority for too long. */
    @SerialName("no-majority")
    NO_MAJORITY,

    /** The published objects contain no such target. */
    @SerialName("unknown-target")
    UNKNOWN_TARGET,

    /** Another incarnation of the sidecar holds the lease. */
    @SerialName("other-incarnation")
    OTHER_INCARNATION,

    /** The control state has reached its limit for objects of this kind. */
    @SerialName("full")
    FULL,
}

/** Refuses a lease; [leader] is the leader's name if this controller knows it. */
@Serializable
@SerialName("lr")
data class LeaseRefusal(
    @SerialName("n") val number: Long,
    @SerialName("r") val reason: ControlRefusal,
    @SerialName("l") val leader: ProcessName? = null,
) : ControlMessage()

/** A version newer than that of the sidecar's lease is effective; the sidecar renews at once. */
@Serializable
@SerialName("ln")
data class LeaseRenewNow(@SerialName("v") val version: Long) : ControlMessage()

/** The sidecar has applied [version]. */
@Serializable
@SerialName("la")
data class LeaseAcknowledgement(
    @SerialName("t") val target: TargetName,
    @SerialName("i") val incarnation: Incarnation,
    @SerialName("v") val version: Long,
) : ControlMessage()

/** Subscribes to the fleet's state, starting with the current one if newer than [knownVersion]. */
@Serializable
@SerialName("cq")
data class ConfigurationRequest(@SerialName("v") val knownVersion: Long) : ControlMessage()

/**
 * The state last sent to the subscriber is still current for it at [version], so the subscriber can
 * confirm that version without receiving the same objects again.
 */
@Serializable
@SerialName("cc")
data class ConfigurationCurrent(@SerialName("v") val version: Long) : ControlMessage()

/** The complete state at its version. */
@Serializable
@SerialName("cu")
data class ConfigurationUpdate(@SerialName("s") val state: FleetState) : ControlMessage()

/** Claims a non-repeatable request for one attempt before the attempt is dispatched. */
@Serializable
@SerialName("kq")
data class ClaimRequest(
    @SerialName("n") val number: Long,
    @SerialName("k") val key: ClaimKey,
    @SerialName("f") val content: Fingerprint,
    @SerialName("a") val attempt: Attempt,
    @SerialName("m") val remainingMilliseconds: Long,
) : ControlMessage()

/** Reply to the claim request with the same number. */
@Serializable
@SerialName("ka")
data class ClaimAnswer(
    @SerialName("n") val number: Long,
    @SerialName("o") val outcome: ClaimOutcome,
) : ControlMessage()

/** Releases a claim whose attempt did not run, so that another attempt may be claimed. */
@Serializable
@SerialName("kr")
data class ClaimRelease(
    @SerialName("n") val number: Long,
    @SerialName("k") val key: ClaimKey,
    @SerialName("a") val attempt: Attempt,
) : ControlMessage()

/** Completes a claim with the response to its attempt. */
@Serializable
@SerialName("kc")
data class ClaimCompletion(
    @SerialName("n") val number: Long,
    @SerialName("k") val key: ClaimKey,
    @SerialName("a") val attempt: Attempt,
    @SerialName("s") val answer: StoredAnswer,
) : ControlMessage()

/**
 * The claim release or completion with the same number is durable, or was refused if [accepted] is
 * false.
 *
 * @property refusal set if this controller could not decide; the message has to be resent, to
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

/** Reports that a target crashed with these requests in flight. */
@Serializable
@SerialName("rr")
data class CrashReport(
    @SerialName("t") val target: TargetName,
    @SerialName("f") val fingerprints: List<Fingerprint>,
) : ControlMessage()

/** Requests that crashed at least two targets and are refused for [remainingMilliseconds]. */
@Serializable
@SerialName("rl")
data class CrashList(
    @SerialName("f") val fingerprints: List<Fingerprint>,
    @SerialName("m") val remainingMilliseconds: Long,
) : ControlMessage()

/**
 * An order for the engine beside a sidecar.
 *
 * @property number the same in each resend of the order, including one by another leader
 * @property incarnation incarnation of the sidecar that the order is addressed to
 * @property kind operation as named by the engine, such as `load-model`
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

/** Outcome of the order for [target] with the same number. */
@Serializable
@SerialName("oa")
data class EngineOrderResult(
    @SerialName("n") val number: Long,
    @SerialName("t") val target: TargetName,
    @SerialName("o") val outcome: OrderOutcome,
) : ControlMessage()

/** A message of the replicated log, whose content is defined by the consensus package. */
@Serializable
@SerialName("cm")
data class ConsensusEnvelope(@SerialName("b") val content: Payload) : ControlMessage()

/** First message in each direction on a connection. */
@Serializable
@SerialName("hi")
data class Hello(
    @SerialName("p") val process: ProcessName,
    @SerialName("c") val dataCenter: DataCenterName,
    @SerialName("i") val incarnation: Incarnation,
    @SerialName("t") val target: TargetName? = null,
) : PeerMessage()
