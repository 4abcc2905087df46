package org.hibiscusproxy.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.forwarding.ServiceVersion
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.ClaimKey
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.StoredAnswer
import org.hibiscusproxy.protocol.StreamGroup
import org.hibiscusproxy.rollout.RolloutPhase

/**
 * A command in the replicated log. It carries the leader's reading of the fleet clock, because
 * applying a command must be deterministic and cannot read a clock.
 */
@Serializable
sealed class ControlCommand {
    /** Fleet time at which the leader proposed the command. */
    abstract val at: FleetInstant
}

/** Identifier of a change, chosen by the operator's client and repeated in each resend. */
@JvmInline
@Serializable
value class ChangeIdentifier(val value: String) {
    override fun toString(): String = value
}

/** A change of the fleet state by an operator or the platform. */
@Serializable
sealed class ChangeCommand : ControlCommand() {
    /** Identifies the change across resends. */
    abstract val change: ChangeIdentifier

    /** Returns the change without its identifier and time, for comparison with a resend. */
    abstract fun content(): ChangeCommand

    /**
     * Replaces all objects.
     *
     * @property basedOn version that the operator last read; a conflict if the objects have changed
     *   since
     */
    @Serializable
    @SerialName("po")
    data class PublishObjects(
        override val change: ChangeIdentifier,
        val basedOn: Long,
        val objects: FleetObjects,
        override val at: FleetInstant,
    ) : ChangeCommand() {
        override fun content(): ChangeCommand = copy(change = NO_IDENTIFIER, at = FleetInstant.ZERO)
    }

    /**
     * Takes a data centre out of service or returns it.
     *
     * @property basedOn version that the operator last read, or null for an unconditional change; a
     *   conflict if the state of this data centre has changed since
     */
    @Serializable
    @SerialName("sd")
    data class SetDataCenterState(
        override val change: ChangeIdentifier,
        val dataCenter: DataCenterName,
        val state: OperationalState,
        override val at: FleetInstant,
        val basedOn: Long? = null,
    ) : ChangeCommand() {
        override fun content(): ChangeCommand = copy(change = NO_IDENTIFIER, at = FleetInstant.ZERO)
    }

    /**
     * Takes a target out of service or returns it.
     *
     * @property source origin of the change; the platform cannot return a target that an operator
     *   took out
     * @property basedOn as for [SetDataCenterState]
     */
    @Serializable
    @SerialName("st")
    data class SetTargetState(
        override val change: ChangeIdentifier,
        val target: TargetName,
        val state: OperationalState,
        override val at: FleetInstant,
        val source: StateSource = StateSource.OPERATOR,
        val basedOn: Long? = null,
    ) : ChangeCommand() {
        override fun content(): ChangeCommand = copy(change = NO_IDENTIFIER, at = FleetInstant.ZERO)
    }
}

private val NO_IDENTIFIER = ChangeIdentifier("")

/** Origin of a change of a target's state. */
@Serializable
enum class StateSource {
    /** An operator. */
    @SerialName("operator")
    OPERATOR,

    /** The platform's list of instances. */
    @SerialName("platform")
    PLATFORM,
}

/** Allocates a fencing number for the sidecar of [target], higher for each new incarnation. */
@Serializable
@SerialName("fn")
data class AllocateFencingNumber(
    val target: TargetName,
    val incarnation: Incarnation,
    override val at: FleetInstant,
) : ControlCommand()

/**
 * The entry that makes a claim. An equal attempt of the same claimant is a resend of the same claim
 * and gets the same outcome, because an entry generates request identifiers itself, never takes
 * them from callers, and runs each attempt once. A caller's resend therefore has another request
 * identifier or another claimant.
 */
@Serializable
data class Claimant(val process: ProcessName, val incarnation: Incarnation)

/** Claims a non-repeatable request for one attempt. */
@Serializable
@SerialName("kc")
data class ClaimAttempt(
    val key: ClaimKey,
    val content: Fingerprint,
    val attempt: Attempt,
    val claimant: Claimant,
    val remainingMilliseconds: Long,
    override val at: FleetInstant,
) : ControlCommand()

/** Releases a claim because the claimed attempt did not run. */
@Serializable
@SerialName("kr")
data class ReleaseClaim(val key: ClaimKey, val attempt: Attempt, override val at: FleetInstant) :
    ControlCommand()

/** Completes a claim with the answer of the claimed attempt. */
@Serializable
@SerialName("kd")
data class CompleteClaim(
    val key: ClaimKey,
    val attempt: Attempt,
    val answer: StoredAnswer,
    override val at: FleetInstant,
) : ControlCommand()

/** Records that [target] crashed while the requests with [fingerprints] were in progress. */
@Serializable
@SerialName("cr")
data class RecordCrash(
    val target: TargetName,
    val fingerprints: List<Fingerprint>,
    override val at: FleetInstant,
) : ControlCommand()

/** Lets forwarders refuse requests that have all fingerprints of one of [causes] of crashes. */
@Serializable
@SerialName("rf")
data class RefuseRequests(val causes: List<Set<Fingerprint>>, override val at: FleetInstant) :
    ControlCommand()

/** Registers the versions that the platform's list holds now. */
@Serializable
@SerialName("vr")
data class RegisterVersions(val listed: Set<ServiceVersion>, override val at: FleetInstant) :
    ControlCommand()

/** Records which versions began streams. */
@Serializable
@SerialName("sr")
data class RecordStreams(val groups: List<StreamGroup>, override val at: FleetInstant) :
    ControlCommand()

/** Advances the fleet clock and removes everything whose retention has expired. */
@Serializable
@SerialName("ex")
data class Expire(override val at: FleetInstant) : ControlCommand()

/** Publishes [configuration], parsed from [document] as its author sent it. */
@Serializable
@SerialName("rp")
data class PublishRouting(
    val configuration: RoutingConfiguration,
    val document: Payload,
    override val at: FleetInstant,
) : ControlCommand()

/** Drains [dataCenter], so that its targets get no new work, or ends the drain. */
@Serializable
@SerialName("re")
data class SetDrained(
    val dataCenter: DataCenterName,
    val isDrained: Boolean,
    override val at: FleetInstant,
) : ControlCommand()

/**
 * Orders that the traffic of [service] moves to the targets of [version] within
 * [durationMilliseconds]. An equal order is a resend until its deadline.
 */
@Serializable
@SerialName("os")
data class StartRollout(
    val service: ServiceName,
    val version: SoftwareVersion,
    val durationMilliseconds: Long,
    override val at: FleetInstant,
) : ControlCommand()

/**
 * Moves the rollout [number] of [service] to the later phase [phase]. Has no effect if another
 * order has replaced the rollout or if it has reached that phase or ended.
 */
@Serializable
@SerialName("oa")
data class AdvanceRollout(
    val service: ServiceName,
    val number: Long,
    val phase: RolloutPhase,
    val reason: String,
    override val at: FleetInstant,
) : ControlCommand()
