package org.hibiscusproxy.daemon.controller

import java.util.concurrent.CompletableFuture
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.hibiscusproxy.consensus.MembershipChange
import org.hibiscusproxy.consensus.ProposalRefusal
import org.hibiscusproxy.consensus.ReplicatedLog
import org.hibiscusproxy.control.ChangeCommand
import org.hibiscusproxy.control.ChangeIdentifier
import org.hibiscusproxy.control.ChangeOutcome
import org.hibiscusproxy.control.ControlResult
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.rollout.Rollout
import org.hibiscusproxy.timeline.EventRecorder
import org.hibiscusproxy.timeline.FleetEvent

/** Answers operators' calls. Used by the worker only. */
internal class OperatorService(
    private val name: ProcessName,
    private val log: ReplicatedLog,
    private val state: ControlState,
    private val leadership: Leadership,
    private val proposals: Proposals,
    private val subscriptions: Subscriptions,
    private val orders: OrderService,
    private val recorder: EventRecorder,
    private val time: TimeSource.WithComparableMarks,
) {
    private val pendingReplies = mutableListOf<PendingReply>()
    private val inForce = InForceVersions(state, leadership, time)

    fun handle(request: OperatorRequest, reply: CompletableFuture<OperatorReply>) {
        when (request) {
            is OperatorRequest.Change -> change(request, reply)
            is OperatorRequest.ReadState -> readState(reply)
            is OperatorRequest.ReadChange -> readChange(request, reply)
            is OperatorRequest.ReadStatus -> reply.complete(OperatorReply.Status(status()))
            is OperatorRequest.Order -> order(request, reply)
            is OperatorRequest.ChangeMembers -> changeMembers(request.change, reply)
        }
    }

    /** Answers calls whose change is in force or whose wait time has elapsed. */
    fun advance() {
        inForce.advance()
        if (pendingReplies.isEmpty()) return
        val now = time.markNow()
        val due = pendingReplies.filter {
            it.reply.isDone || it.until <= now || inForce.since(it.version) != null
        }
        pendingReplies.removeAll(due)
        due.forEach { answer(it.report, it.reply) }
    }

    /** Answers all pending calls, because only the new leader knows what is in force. */
    fun leadershipChanged() {
        inForce.reset()
        val all = pendingReplies.toList()
        pendingReplies.clear()
        all.forEach { answer(it.report, it.reply) }
    }

    private fun change(request: OperatorRequest.Change, reply: CompletableFuture<OperatorReply>) {
        val leader = leadership.active()
        if (leader == null) {
            reply.complete(notLeader())
            return
        }
        val command = request.build(leader.fleetTime(time.markNow()))
        proposals.propose(command) { outcome ->
            when (outcome) {
                is ProposalOutcome.Applied -> {
                    val result = (outcome.result as ControlResult.Change).outcome
                    record(command, result)
                    awaitInForce(command.change, result, request.wait, reply)
                }

                is ProposalOutcome.NotProposed -> reply.complete(notLeader())
                is ProposalOutcome.Refused -> reply.complete(refused(outcome.refusal))
                is ProposalOutcome.Unknown -> reply.complete(unknown())
            }
        }
    }

    private fun record(command: ChangeCommand, outcome: ChangeOutcome) {
        if (outcome !is ChangeOutcome.Accepted) return
        recorder.record(FleetEvent.ChangeAccepted(outcome.version, command.summary()))
    }

    private fun readState(reply: CompletableFuture<OperatorReply>) {
        val isLeader = leadership.active() != null
        reply.complete(if (isLeader) OperatorReply.State(state.fleet) else notLeader())
    }

    private fun readChange(
        request: OperatorRequest.ReadChange,
        reply: CompletableFuture<OperatorReply>,
    ) {
        if (leadership.active() == null) {
            reply.complete(notLeader())
            return
        }
        val outcome = state.outcomeOf(request.change)
        if (outcome == null) {
            val message = "no change with identifier ${request.change} is known"
            reply.complete(OperatorReply.Failed(OperatorErrorType.NOT_FOUND, message))
            return
        }
        awaitInForce(request.change, outcome, request.wait, reply)
    }

    private fun awaitInForce(
        change: ChangeIdentifier,
        outcome: ChangeOutcome,
        wait: Duration,
        reply: CompletableFuture<OperatorReply>,
    ) {
        val report = ChangeReport(change, outcome)
        if (outcome !is ChangeOutcome.Accepted || !wait.isPositive()) {
            answer(report, reply)
            return
        }
        pendingReplies += PendingReply(report, outcome.version, time.markNow() + wait, reply)
        advance()
    }

    private fun answer(report: ChangeReport, reply: CompletableFuture<OperatorReply>) {
        val outcome = report.outcome as? ChangeOutcome.Accepted
        val progress = outcome?.let { progress(it.version) }
        reply.complete(OperatorReply.Change(report.copy(progress = progress)))
    }

    private fun progress(version: Long): ProgressReport? {
        val granter = leadership.active()?.granter ?: return null
        val now = time.markNow()
        val progress = granter.progress(version, state, now)
        val processes = subscriptions.unconfirmed(version)
        if (progress.isInForce) {
            val elapsed = inForce.since(version)?.let { (now - it).inWholeMilliseconds }
            return ProgressReport(version, true, elapsed, unconfirmedProcesses = processes)
        }
        val targets = progress.unconfirmed.map {
            UnconfirmedReport(it.target, (it.until - now).roundedUp())
        }
        val within = progress.inForceBy?.let { (it - now).roundedUp() }
        return ProgressReport(version, false, null, within, targets, processes)
    }

    private fun order(request: OperatorRequest.Order, reply: CompletableFuture<OperatorReply>) {
        val isLeader = leadership.active() != null
        if (isLeader) orders.send(request, reply) else reply.complete(notLeader())
    }

    private fun changeMembers(change: MembershipChange, reply: CompletableFuture<OperatorReply>) {
        val now = time.markNow()
        if (leadership.active() == null) {
            reply.complete(notLeader())
            return
        }
        val refusal = log.refusalOf(change, now)
        if (refusal != null) {
            val reason = refusal.name.lowercase().replace('_', '-')
            val message = "the change of members was refused: $reason"
            reply.complete(OperatorReply.Failed(OperatorErrorType.MEMBERSHIP_REFUSED, message))
            return
        }
        proposals.await(log.changeMembership(change, now)) { outcome ->
            val answer = when (outcome) {
                is EntryOutcome.Applied -> OperatorReply.Status(status())
                is EntryOutcome.NotProposed -> notLeader()
                is EntryOutcome.Refused -> refused(outcome.refusal)
                is EntryOutcome.Unknown -> unknown()
            }
            reply.complete(answer)
        }
    }

    private fun status(): StatusReport {
        val members = log.membership.members.map { (process, member) ->
            MemberReport(process, member.identity, member.isVoter)
        }
        return StatusReport(
            name = name,
            role = log.role.name.lowercase().replace('_', '-'),
            term = log.term,
            leader = log.leader,
            version = state.fleet.version,
            commitIndex = log.commitIndex,
            appliedIndex = log.appliedIndex,
            claims = state.claimCount,
            leases = leadership.active()?.granter?.leasesRunning(time.markNow()),
            members = members.sortedBy { it.process.value },
            strangers = log.unknownIdentities.map { StrangerReport(it.key, it.value) },
            rollouts = state.routing.rollouts.map { it.toReport() },
        )
    }

    private fun Rollout.toReport() = RolloutReport(
        service,
        version,
        phase.label,
        reason,
        (deadline.milliseconds - state.clock.milliseconds).takeIf { phase.isRunning },
    )

    private fun notLeader() = OperatorReply.Failed(
        OperatorErrorType.NOT_LEADER,
        "this controller does not lead; nothing was done",
        log.leader,
    )

    private fun refused(refusal: ProposalRefusal) =
        OperatorReply.Failed(OperatorErrorType.INTERNAL, "${refusal.message}; nothing was done")

    private fun unknown() = OperatorReply.Failed(
        OperatorErrorType.OUTCOME_UNKNOWN,
        "the leader changed before the change was confirmed; send it again unchanged",
        log.leader,
    )

    /** Rounds up to the next millisecond, as a reported instant must never be too early. */
    private fun Duration.roundedUp(): Long = inWholeMilliseconds + 1

    private fun ChangeCommand.summary(): String = when (this) {
        is ChangeCommand.PublishObjects -> "objects published"
        is ChangeCommand.SetDataCenterState -> "data centre $dataCenter ${state.name.lowercase()}"
        is ChangeCommand.SetTargetState -> "target $target ${state.name.lowercase()}"
    }

    private class PendingReply(
        val report: ChangeReport,
        val version: Long,
        val until: ComparableTimeMark,
        val reply: CompletableFuture<OperatorReply>,
    )
}
