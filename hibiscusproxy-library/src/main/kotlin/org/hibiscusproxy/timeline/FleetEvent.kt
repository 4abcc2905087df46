package org.hibiscusproxy.timeline

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.BrokenReason
import org.hibiscusproxy.protocol.NotRunReason
import org.hibiscusproxy.protocol.RequestIdentifier
import org.hibiscusproxy.rollout.RolloutPhase

/** An event in one process that is recorded for the timeline of the fleet. */
@Serializable
sealed class FleetEvent {
    /** The process started with [roles]. */
    @Serializable
    @SerialName("process-started")
    data class ProcessStarted(val roles: List<String>) : FleetEvent()

    /** The process began a graceful shutdown. */
    @Serializable
    @SerialName("process-stopping")
    data class ProcessStopping(val inProgress: Int) : FleetEvent()

    /** An entry received a request from a caller. */
    @Serializable
    @SerialName("request-received")
    data class RequestReceived(val request: RequestIdentifier, val team: TeamName) : FleetEvent()

    /** An entry sent an attempt to a sidecar. */
    @Serializable
    @SerialName("attempt-dispatched")
    data class AttemptDispatched(val attempt: Attempt, val target: TargetName) : FleetEvent()

    /** A sidecar sent an attempt to its target. */
    @Serializable
    @SerialName("attempt-started")
    data class AttemptStarted(val attempt: Attempt, val target: TargetName) : FleetEvent()

    /** A sidecar refused an attempt. */
    @Serializable
    @SerialName("attempt-not-run")
    data class AttemptNotRun(
        val attempt: Attempt,
        val target: TargetName,
        val reason: NotRunReason,
    ) : FleetEvent()

    /** An entry relayed a complete response. */
    @Serializable
    @SerialName("request-answered")
    data class RequestAnswered(val request: RequestIdentifier, val status: Int) : FleetEvent()

    /** A response ended before it was complete. */
    @Serializable
    @SerialName("request-broken")
    data class RequestBroken(val attempt: Attempt, val reason: BrokenReason) : FleetEvent()

    /** A sidecar obtained a lease after holding none. */
    @Serializable
    @SerialName("lease-obtained")
    data class LeaseObtained(
        val target: TargetName,
        val version: Long,
        val state: OperationalState,
    ) : FleetEvent()

    /** A sidecar's lease expired. */
    @Serializable
    @SerialName("lease-expired")
    data class LeaseExpired(val target: TargetName) : FleetEvent()

    /** A process applied a newer version of the fleet's state. */
    @Serializable
    @SerialName("version-effective")
    data class VersionEffective(val version: Long) : FleetEvent()

    /** A controller accepted an operator's change. */
    @Serializable
    @SerialName("change-accepted")
    data class ChangeAccepted(val version: Long, val summary: String) : FleetEvent()

    /** A controller became the leader. */
    @Serializable
    @SerialName("leader-elected")
    data class LeaderElected(val leader: ProcessName, val term: Long) : FleetEvent()

    /** A rollout entered [phase] because of [reason]. */
    @Serializable
    @SerialName("rollout-phase-entered")
    data class RolloutPhaseEntered(
        val service: ServiceName,
        val version: SoftwareVersion,
        val number: Long,
        val phase: RolloutPhase,
        val reason: String,
    ) : FleetEvent()

    /** A target crashed with requests in progress. */
    @Serializable
    @SerialName("target-crashed")
    data class TargetCrashed(val target: TargetName, val inProgress: Int) : FleetEvent()
}

/** Records the events of one process. Implementations are safe for concurrent use. */
fun interface EventRecorder {
    /** Records [event] with the current time. */
    fun record(event: FleetEvent)
}
