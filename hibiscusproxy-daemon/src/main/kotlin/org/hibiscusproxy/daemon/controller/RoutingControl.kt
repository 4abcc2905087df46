package org.hibiscusproxy.daemon.controller

import java.util.concurrent.CompletableFuture
import org.hibiscusproxy.control.RoutingState
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Payload

/** What an operator's interface may ask of the routing that this controller replicates. */
interface RoutingControl {
    /** Publishes [configuration], read from [document]; completes once it is durable. */
    fun publish(
        configuration: RoutingConfiguration,
        document: Payload,
    ): CompletableFuture<RoutingReply>

    /** Stops or allows new work for the targets of [dataCenter]; completes once it is durable. */
    fun setDrained(dataCenter: DataCenterName, isDrained: Boolean): CompletableFuture<RoutingReply>

    /** Reads the newest routing, confirmed by a majority after the call arrived. */
    fun read(): CompletableFuture<RoutingReply>
}

/** Answer to a call of [RoutingControl]. */
sealed class RoutingReply {
    /** The change is durable, or an equal or newer one was before. */
    data object Done : RoutingReply()

    /** The newest routing. */
    data class Current(val state: RoutingState) : RoutingReply()

    /** Only [leader] can answer; null when none is known. Nothing was done. */
    data class NotLeader(val leader: ProcessName?) : RoutingReply()

    /** No majority confirmed in time; a change may take effect or not. */
    data object Unconfirmed : RoutingReply()
}

/** A call of [RoutingControl] on its way to the worker. */
internal sealed class RoutingCall {
    class Publish(val configuration: RoutingConfiguration, val document: Payload) : RoutingCall()

    class SetDrained(val dataCenter: DataCenterName, val isDrained: Boolean) : RoutingCall()

    data object Read : RoutingCall()
}
