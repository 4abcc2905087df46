package org.hibiscusproxy.daemon.controller

import java.util.concurrent.CompletableFuture
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.consensus.Consensus
import org.hibiscusproxy.control.ControlCommand
import org.hibiscusproxy.control.ControlResult
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.control.FleetInstant
import org.hibiscusproxy.control.PublishRouting
import org.hibiscusproxy.control.RolloutOutcome
import org.hibiscusproxy.control.SetDrained
import org.hibiscusproxy.control.StartRollout
import org.slf4j.LoggerFactory

/**
 * Handles routing calls. A read waits until a majority has confirmed this leader after the call
 * arrived, so that a leader that was paused or partitioned never returns a stale state. Used by the
 * worker only.
 */
internal class RoutingService(
    private val log: Consensus,
    private val state: ControlState,
    private val leadership: Leadership,
    private val proposals: Proposals,
    private val time: TimeSource.WithComparableMarks,
) {
    private val reads = ArrayDeque<Read>()

    fun handle(call: RoutingCall, reply: CompletableFuture<RoutingReply>) {
        when (call) {
            is RoutingCall.Publish -> propose(reply) { at ->
                PublishRouting(call.configuration, call.document, at)
            }

            is RoutingCall.SetDrained -> propose(reply) { at ->
                SetDrained(call.dataCenter, call.isDrained, at)
            }

            is RoutingCall.StartRollout -> propose(reply) { at ->
                val milliseconds = call.duration.inWholeMilliseconds.coerceAtLeast(1)
                StartRollout(call.service, call.version, milliseconds, at)
            }

            is RoutingCall.ReadRollout -> read(reply) {
                RoutingReply.LatestRollout(state.routing.rollout(call.service))
            }

            is RoutingCall.Read -> read(reply) { RoutingReply.Current(state.routing) }
        }
    }

    /** Answers confirmed reads and fails those that no majority confirmed in time. */
    fun advance() {
        if (reads.isEmpty()) return
        val contact = if (leadership.active() == null) null else log.majorityContact
        val now = time.markNow()
        while (reads.isNotEmpty()) {
            val read = reads.first()
            when {
                leadership.active() == null ->
                    read.reply.complete(RoutingReply.NotLeader(log.leader))

                contact != null && contact >= read.arrivedAt ->
                    read.reply.complete(read.answer())

                now - read.arrivedAt > CONFIRMATION_LIMIT -> read.reply.complete(
                    RoutingReply.Unconfirmed,
                )

                else -> return
            }
            reads.removeFirst()
        }
    }

    private fun propose(
        reply: CompletableFuture<RoutingReply>,
        command: (FleetInstant) -> ControlCommand,
    ) {
        val leader = leadership.active()
        if (leader == null) {
            reply.complete(RoutingReply.NotLeader(log.leader))
            return
        }
        proposals.propose(command(leader.fleetTime(time.markNow()))) { outcome ->
            val answer = when (outcome) {
                is ProposalOutcome.Applied -> outcome.result.toReply()
                is ProposalOutcome.NotProposed -> RoutingReply.NotLeader(outcome.leader)
                is ProposalOutcome.Refused -> RoutingReply.Refused(outcome.refusal)
                is ProposalOutcome.Unknown -> RoutingReply.Unconfirmed
            }
            LOG.info(
                "controller: routing change ended with {} at revision {}",
                answer,
                state.routing.revision,
            )
            reply.complete(answer)
        }
    }

    private fun ControlResult.toReply(): RoutingReply {
        val outcome = (this as? ControlResult.RolloutOrder)?.outcome ?: return RoutingReply.Done
        return when (outcome) {
            is RolloutOutcome.Accepted -> RoutingReply.Done
            is RolloutOutcome.Refused -> RoutingReply.RolloutRefused(outcome)
        }
    }

    private fun read(reply: CompletableFuture<RoutingReply>, answer: () -> RoutingReply) {
        if (leadership.active() == null) {
            reply.complete(RoutingReply.NotLeader(log.leader))
            return
        }
        reads.addLast(Read(time.markNow(), reply, answer))
    }

    private class Read(
        val arrivedAt: ComparableTimeMark,
        val reply: CompletableFuture<RoutingReply>,
        val answer: () -> RoutingReply,
    )

    private companion object {
        /** About the time after which operators try another controller. */
        val CONFIRMATION_LIMIT = 1.seconds
        val LOG = LoggerFactory.getLogger(RoutingService::class.java)
    }
}
