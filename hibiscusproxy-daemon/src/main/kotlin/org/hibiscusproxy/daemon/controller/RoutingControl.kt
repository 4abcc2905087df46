package org.hibiscusproxy.daemon.controller

import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import org.hibiscusproxy.consensus.ProposalRefusal
import org.hibiscusproxy.control.RolloutOutcome
import org.hibiscusproxy.control.RoutingState
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.rollout.Rollout

/** Operations on the replicated routing that an operators' interface offers. */
interface RoutingControl {
    /** Size in bytes above which a document is refused without being read. */
    val maximumDocumentBytes: Long

    /** Publishes [configuration], parsed from [document]. Completes once it is durable. */
    fun publish(
        configuration: RoutingConfiguration,
        document: Payload,
    ): CompletableFuture<RoutingReply>

    /** Stops or allows new work for the targets of [dataCenter]. Completes once it is durable. */
    fun setDrained(dataCenter: DataCenterName, isDrained: Boolean): CompletableFuture<RoutingReply>

    /**
     * Starts a rollout of [service] to the targets of [version], to end within [duration].
     * Completes once it is durable; an equal order until the deadline has no further effect.
     */
    fun startRollout(
        service: ServiceName,
        version: SoftwareVersion,
        duration: Duration,
    ): CompletableFuture<RoutingReply>

    /** Returns the latest rollout of [service], confirmed by a majority like [read]. */
    fun readRollout(service: ServiceName): CompletableFuture<RoutingReply>

    /** Returns the latest routing, confirmed by a majority after the call arrived. */
    fun read(): CompletableFuture<RoutingReply>
}

/** Answer to a call of [RoutingControl]. */
sealed class RoutingReply {
    /** The change is durable, or an equal or newer one already was. */
    data object Done : RoutingReply()

    /** The latest routing. */
    data class Current(val state: RoutingState) : RoutingReply()

    /** The latest [rollout] of a service; null if it never had one. */
    data class LatestRollout(val rollout: Rollout?) : RoutingReply()

    /** The order was not accepted because of [outcome]. Nothing was done. */
    data class RolloutRefused(val outcome: RolloutOutcome.Refused) : RoutingReply()

    /** Only [leader], null if unknown, can answer. Nothing was done. */
    data class NotLeader(val leader: ProcessName?) : RoutingReply()

    /** The change was not accepted because of [refusal]. Nothing was done. */
    data class Refused(val refusal: ProposalRefusal) : RoutingReply()

    /** No majority confirmed in time; a change may or may not take effect. */
    data object Unconfirmed : RoutingReply()
}

/** A call of [RoutingControl], as queued for the worker. */
internal sealed class RoutingCall {
    class Publish(val configuration: RoutingConfiguration, val document: Payload) : RoutingCall()

    class SetDrained(val dataCenter: DataCenterName, val isDrained: Boolean) : RoutingCall()

    class StartRollout(
        val service: ServiceName,
        val version: SoftwareVersion,
        val duration: Duration,
    ) : RoutingCall()

    class ReadRollout(val service: ServiceName) : RoutingCall()

    data object Read : RoutingCall()
}
