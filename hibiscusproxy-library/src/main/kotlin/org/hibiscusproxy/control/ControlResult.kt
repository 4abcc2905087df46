package org.hibiscusproxy.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.ObjectFault
import org.hibiscusproxy.model.ObjectKind
import org.hibiscusproxy.protocol.ClaimOutcome

/** Result of applying a [ControlCommand], returned to its proposer. */
@Serializable
sealed class ControlResult {
    /** Result of a [ChangeCommand]. */
    @Serializable
    @SerialName("c")
    data class Change(val outcome: ChangeOutcome) : ControlResult()

    /** The target's fencing number. */
    @Serializable
    @SerialName("f")
    data class FencingNumber(val number: Long) : ControlResult()

    /** A later incarnation of the sidecar already has a fencing number. */
    @Serializable
    @SerialName("i")
    data object OldIncarnation : ControlResult()

    /** The target is not among the published objects. */
    @Serializable
    @SerialName("t")
    data object UnknownTarget : ControlResult()

    /** Result of a [ClaimAttempt]. */
    @Serializable
    @SerialName("k")
    data class Claim(val outcome: ClaimOutcome) : ControlResult()

    /** Whether a [ReleaseClaim] or [CompleteClaim] took effect, now or in an earlier send. */
    @Serializable
    @SerialName("a")
    data class ClaimAcknowledged(val accepted: Boolean) : ControlResult()

    /** Result of a [StartRollout]. */
    @Serializable
    @SerialName("o")
    data class RolloutOrder(val outcome: RolloutOutcome) : ControlResult()

    /** The command was applied and has no further result. */
    @Serializable
    @SerialName("d")
    data object Done : ControlResult()
}

/** Outcome of an operator's change, repeated for each resend of the same change. */
@Serializable
sealed class ChangeOutcome {
    /** The change is part of the fleet state from [version] on. */
    @Serializable
    @SerialName("accepted")
    data class Accepted(val version: Long) : ChangeOutcome()

    /** A change at version [changedAt] conflicts with this one, which is based on [basedOn]. */
    @Serializable
    @SerialName("conflict")
    data class Conflict(val basedOn: Long, val changedAt: Long) : ChangeOutcome()

    /** The change identifier was used for other content. */
    @Serializable
    @SerialName("identifier-reused")
    data class IdentifierReused(val change: ChangeIdentifier) : ChangeOutcome()

    /** The objects are not consistent. */
    @Serializable
    @SerialName("invalid")
    data class Invalid(val faults: List<ObjectFault>) : ChangeOutcome()

    /** The named object does not exist. */
    @Serializable
    @SerialName("unknown-object")
    data class UnknownObject(val kind: ObjectKind, val name: String) : ChangeOutcome()
}
