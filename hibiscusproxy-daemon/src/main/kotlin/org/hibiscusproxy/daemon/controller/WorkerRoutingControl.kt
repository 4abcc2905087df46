package org.hibiscusproxy.daemon.controller

import java.util.concurrent.CompletableFuture
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.protocol.Payload

/** Queues routing calls for the worker that owns the replica. */
internal class WorkerRoutingControl(private val worker: ControllerWorker) : RoutingControl {
    override fun publish(
        configuration: RoutingConfiguration,
        document: Payload,
    ): CompletableFuture<RoutingReply> = submit(RoutingCall.Publish(configuration, document))

    override fun setDrained(
        dataCenter: DataCenterName,
        isDrained: Boolean,
    ): CompletableFuture<RoutingReply> = submit(RoutingCall.SetDrained(dataCenter, isDrained))

    override fun read(): CompletableFuture<RoutingReply> = submit(RoutingCall.Read)

    private fun submit(call: RoutingCall): CompletableFuture<RoutingReply> {
        val reply = CompletableFuture<RoutingReply>()
        val isQueued = worker.trySubmit(ControllerInput.Routing(call, reply))
        if (!isQueued) reply.complete(RoutingReply.NotLeader(null))
        return reply
    }
}
