package org.hibiscusproxy.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.ClaimKey
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.StoredAnswer

/**
 * A command of the replicated log. Each carries the leader's reading of the fleet clock, because
 * applying it must not read any.
 */
@Serializable
sealed class ControlCommand {
    /** Fleet time at which the leader proposed the command. */
    abstract val at: FleetInstant
}

/** Identifier that an operator's client chooses for a change and repeats when it resends it. */
@JvmInline
@Serializable
value class ChangeIdentifier(val value: String) {
    override fun toString(): String = value
}

/** A change that moves the fleet to a new version. */
@Serializable
sealed class ChangeCommand : ControlCommand() {
    /** Identifies the change over its resends. */
    abstract val change: ChangeIdentifier

    /** The change without identifier and time, for comparing resends. */
    abstract fun content(): ChangeCommand

    /**
     * Replaces all objects.
     *
     * @property basedOn version that the operator last saw; refused when the objects changed since
     */
    @Serializable
    @SerialName("po")
    data class PublishObjects(
        override val change: ChangeIdentifier,
        val basedOn: Long,
        val objects: FleetObjects,
        override val at: FleetInstant,
    ) : ChangeCommand() {
        override fun content(): ChangeCommand = copy(change = NO_CHANGE, at = FleetInstant.ZERO)
    }

    /**
     * Takes a data centre out or returns it.
     *
     * @property basedOn version that the operator last saw, or null to change the state whatever
     *   happened before; refused when this data centre's state changed since
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
        override fun content(): ChangeCommand = copy(change = NO_CHANGE, at = FleetInstant.ZERO)
    }

    /**
     * Takes a target out or returns it.
     *
     * @property source who asks; the platform cannot return what an operator took out
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
        override fun content(): ChangeCommand = copy(change = NO_CHANGE, at = FleetInstant.ZERO)
    }
}

private val NO_CHANGE = ChangeIdentifier("")

/** Who asked for a target's state. */
@Serializable
enum class StateSource {
    /** An operator. */
    @SerialName("operator")
    OPERATOR,

    /** The platform's list of instances. */
    @SerialName("platform")
    PLATFORM,
}

/** Gives the sidecar of [target] a fencing number, a higher one for each new incarnation. */
@Serializable
@SerialName("fn")
data class AllocateFencingNumber(
    val target: TargetName,
    val incarnation: Incarnation,
    override val at: FleetInstant,
) : ControlCommand()

/**
 * The entry that claims. An equal attempt of the same claimant is the same claim sent again, and
 * gets the same answer: an entry draws request identifiers itself, never from its callers, and runs
 * each attempt once. A caller's resend has another request identifier or another claimant.
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

/** The claimed attempt did not run. */
@Serializable
@SerialName("kr")
data class ReleaseClaim(val key: ClaimKey, val attempt: Attempt, override val at: FleetInstant) :
    ControlCommand()

/** The claimed attempt was answered. */
@Serializable
@SerialName("kd")
data class CompleteClaim(
    val key: ClaimKey,
    val attempt: Attempt,
    val answer: StoredAnswer,
    override val at: FleetInstant,
) : ControlCommand()

/** A target crashed with these requests in progress. */
@Serializable
@SerialName("cr")
data class RecordCrash(
    val target: TargetName,
    val fingerprints: List<Fingerprint>,
    override val at: FleetInstant,
) : ControlCommand()

/** Moves the fleet clock and forgets what has outlived its retention time. */
@Serializable
@SerialName("ex")
data class Expire(override val at: FleetInstant) : ControlCommand()

/** Publishes [configuration], which its author sent as [document]. */
@Serializable
@SerialName("rp")
data class PublishRouting(
    val configuration: RoutingConfiguration,
    val document: Payload,
    override val at: FleetInstant,
) : ControlCommand()

/** Stops new work for the targets of [dataCenter], or allows it again. */
@Serializable
@SerialName("re")
data class SetDrained(
    val dataCenter: DataCenterName,
    val isDrained: Boolean,
    override val at: FleetInstant,
) : ControlCommand()
