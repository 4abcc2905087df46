package org.hibiscusproxy.control

import kotlinx.serialization.Serializable
import org.hibiscusproxy.forwarding.ServiceVersion
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.ClaimKey
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.StoredAnswer

/** Serialized form of the whole [ControlState]. */
@Serializable
internal data class ControlSnapshot(
    val clock: FleetInstant,
    val fleet: FleetSnapshot,
    val changes: List<RecordedChange>,
    val lastFencingNumber: Long,
    val fencing: List<FencingRecord>,
    val claims: List<ClaimRecord>,
    val crashes: List<CrashRecord>,
    val routing: RoutingState = RoutingState(),
    val refusals: List<RefusalRecord> = emptyList(),
    val streams: StreamSnapshot = StreamSnapshot(),
)

/** Fleet state with the versions and origins needed to decide on further changes. */
@Serializable
internal data class FleetSnapshot(
    val state: FleetState,
    val objectsVersion: Long,
    val hasRemovedTargets: Boolean,
    val dataCenterVersions: List<DataCenterVersion>,
    val targetVersions: List<TargetVersion>,
    val takenOutByOperators: Set<TargetName>,
    val takenOutByPlatform: Set<TargetName>,
)

/** Version at which a data centre's state last changed. */
@Serializable
internal data class DataCenterVersion(val name: DataCenterName, val version: Long)

/** Version at which a target's state last changed. */
@Serializable
internal data class TargetVersion(val name: TargetName, val version: Long)

/** An operator's change and its original outcome. */
@Serializable
internal data class RecordedChange(
    val change: ChangeIdentifier,
    val digest: Payload,
    val outcome: ChangeOutcome,
    val at: FleetInstant,
)

/** Fencing number of a target's current sidecar incarnation. */
@Serializable
internal data class FencingRecord(
    val target: TargetName,
    val incarnation: Incarnation,
    val number: Long,
)

/**
 * State of one claim.
 *
 * @property used highest attempt number used per request, so that no attempt runs twice
 * @property touched time of the last change, from which the retention counts
 */
@Serializable
internal data class ClaimRecord(
    val key: ClaimKey,
    val content: Fingerprint,
    val phase: ClaimPhase,
    val used: List<Attempt>,
    val touched: FleetInstant,
)

/** Phase of a claim. */
@Serializable
internal sealed class ClaimPhase {
    /** An attempt holds the claim. */
    @Serializable
    data class Claimed(val attempt: Attempt, val claimant: Claimant, val deadline: FleetInstant) :
        ClaimPhase()

    /** No attempt has run, so another one may claim. */
    @Serializable
    data object Released : ClaimPhase()

    /** An attempt ran and its answer is stored. */
    @Serializable
    data class Completed(val attempt: Attempt, val answer: StoredAnswer) : ClaimPhase()

    /** An attempt ran and its answer exceeded the size limits for storing it. */
    @Serializable
    data class NotStored(val attempt: Attempt, val status: Int, val bytes: Int) : ClaimPhase()
}

/** Targets that crashed while a request with [fingerprint] was in progress. */
@Serializable
internal data class CrashRecord(
    val fingerprint: Fingerprint,
    val targets: Set<TargetName>,
    val last: FleetInstant,
)

/** Refusal of requests that have all [fingerprints], until [end]. */
@Serializable
internal data class RefusalRecord(
    val fingerprints: Set<Fingerprint>,
    val end: FleetInstant,
    val durationMilliseconds: Long,
)

/**
 * Registered versions and the streams whose version is known.
 *
 * @property revision revision of the registered versions
 */
@Serializable
internal data class StreamSnapshot(
    val revision: Long = 0,
    val versions: List<VersionRecord> = emptyList(),
    val streams: List<StreamRecord> = emptyList(),
)

/** A registered version; [unlistedSince] is null while the platform lists a target of it. */
@Serializable
internal data class VersionRecord(val version: ServiceVersion, val unlistedSince: FleetInstant?)

/** A stream whose first event came from [origin], which callers may take up until [end]. */
@Serializable
internal data class StreamRecord(
    val stream: Fingerprint,
    val origin: ServiceVersion,
    val end: FleetInstant,
)
