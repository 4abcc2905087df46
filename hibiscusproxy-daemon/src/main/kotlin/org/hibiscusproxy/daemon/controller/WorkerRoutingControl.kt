package org.hibiscusproxy.daemon.controller

import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.hibiscusproxy.consensus.ProposalRefusal
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.protocol.Payload
import org.slf4j.LoggerFactory

/**
 * Queues routing calls for the worker that owns the replica. Changes above the pending size of
 * [limits] are refused while others wait.
 */
internal class WorkerRoutingControl(
    private val worker: ControllerWorker,
    private val limits: ChangeLimits,
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) : RoutingControl {
    private val waitingBytes = AtomicLong()

    override val maximumDocumentBytes: Long get() = limits.entryBytes.toLong()

    override fun publish(
        configuration: RoutingConfiguration,
        document: Payload,
    ): CompletableFuture<RoutingReply> {
        val bytes = document.bytes.size
        val waiting = waitingBytes.getAndAdd(bytes.toLong())
        if (waiting > 0 && waiting + bytes > limits.pendingBytes) {
            waitingBytes.addAndGet(-bytes.toLong())
            val refusal = ProposalRefusal.TooManyPending(waiting, limits.pendingBytes)
            return CompletableFuture.completedFuture(RoutingReply.Refused(refusal))
        }
        return submit(RoutingCall.Publish(configuration, document))
            .whenComplete { _, _ -> waitingBytes.addAndGet(-bytes.toLong()) }
    }

    override fun setDrained(
        dataCenter: DataCenterName,
        isDrained: Boolean,
    ): CompletableFuture<RoutingReply> = submit(RoutingCall.SetDrained(dataCenter, isDrained))

    override fun startRollout(
        service: ServiceName,
        version: SoftwareVersion,
        duration: Duration,
    ): CompletableFuture<RoutingReply> =
        submit(RoutingCall.StartRollout(service, version, duration))

    override fun readRollout(service: ServiceName): CompletableFuture<RoutingReply> =
        submit(RoutingCall.ReadRollout(service))

    override fun read(): CompletableFuture<RoutingReply> = submit(RoutingCall.Read)

    private fun submit(call: RoutingCall): CompletableFuture<RoutingReply> {
        val reply = CompletableFuture<RoutingReply>()
        val receivedAt = time.markNow()
        reply.thenAccept { log(call, it, receivedAt.elapsedNow()) }
        val isQueued = worker.trySubmit(ControllerInput.Routing(call, reply))
        if (!isQueued) reply.complete(RoutingReply.NotLeader(null))
        return reply
    }

    private fun log(call: RoutingCall, reply: RoutingReply, duration: Duration) {
        val operation = when (call) {
            is RoutingCall.Publish -> "version ${call.configuration.version}"
            is RoutingCall.SetDrained -> "drain ${call.dataCenter} ${call.isDrained}"
            is RoutingCall.StartRollout ->
                "rollout of ${call.service} to ${call.version} within ${call.duration}"

            is RoutingCall.ReadRollout -> "read rollout of ${call.service}"
            is RoutingCall.Read -> "read"
        }
        val outcome = when (reply) {
            is RoutingReply.Done -> "done"
            is RoutingReply.Current -> "revision ${reply.state.revision}"
            is RoutingReply.LatestRollout -> reply.rollout?.phase?.label ?: "no rollout"
            is RoutingReply.RolloutRefused -> "refused, ${reply.outcome},"
            is RoutingReply.NotLeader -> "referred to ${reply.leader}"
            is RoutingReply.Refused -> "refused, ${reply.refusal.message},"
            is RoutingReply.Unconfirmed -> "unconfirmed"
        }
        val milliseconds = duration.inWholeMilliseconds
        LOG.info("controller: operators, {}: {} after {} ms", operation, outcome, milliseconds)
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(WorkerRoutingControl::class.java)
    }
}
