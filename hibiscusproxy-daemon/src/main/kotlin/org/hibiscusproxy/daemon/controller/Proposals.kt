package org.hibiscusproxy.daemon.controller

import kotlin.time.TimeSource
import org.hibiscusproxy.consensus.Consensus
import org.hibiscusproxy.consensus.ConsensusOutput
import org.hibiscusproxy.consensus.ProposalRefusal
import org.hibiscusproxy.consensus.ProposalResult
import org.hibiscusproxy.control.ControlCodec
import org.hibiscusproxy.control.ControlCommand
import org.hibiscusproxy.control.ControlResult
import org.hibiscusproxy.model.ProcessName

/** Tracks proposed log entries until they are applied. Used by the worker only. */
internal class Proposals(
    private val log: Consensus,
    private val time: TimeSource.WithComparableMarks,
) {
    private val pending = HashMap<Long, Pending>()

    /** Proposes [command]. Calls [onOutcome] once, at the latest when the leader changes. */
    fun propose(command: ControlCommand, onOutcome: (ProposalOutcome) -> Unit) {
        val result = log.propose(ControlCodec.encode(command), time.markNow())
        await(result) { outcome ->
            val mapped = when (outcome) {
                is EntryOutcome.Applied ->
                    ProposalOutcome.Applied(ControlCodec.decodeResult(outcome.output.result))

                is EntryOutcome.NotProposed -> ProposalOutcome.NotProposed(outcome.leader)
                is EntryOutcome.Refused -> ProposalOutcome.Refused(outcome.refusal)
                is EntryOutcome.Unknown -> ProposalOutcome.Unknown
            }
            onOutcome(mapped)
        }
    }

    /** Calls [onOutcome] once the outcome of the entry proposed with [result] is known. */
    fun await(result: ProposalResult, onOutcome: (EntryOutcome) -> Unit) {
        when (result) {
            is ProposalResult.Accepted ->
                pending[result.index] = Pending(result.term, onOutcome)

            is ProposalResult.NotLeader -> onOutcome(EntryOutcome.NotProposed(result.leader))
            is ProposalResult.Refused -> onOutcome(EntryOutcome.Refused(result.refusal))
            is ProposalResult.MembershipChangePending -> onOutcome(EntryOutcome.NotProposed(null))
        }
    }

    /** Completes the proposal at an applied index. An entry of another term has replaced it. */
    fun applied(output: ConsensusOutput.Applied) {
        val proposal = pending.remove(output.index) ?: return
        val isSame = proposal.term == output.term
        proposal.onOutcome(
            if (isSame) EntryOutcome.Applied(output) else EntryOutcome.NotProposed(log.leader),
        )
    }

    /**
     * Completes proposals of terms other than [term] as unknown, as later leaders may still commit
     * them. With null, when this replica is not the leader, completes all.
     */
    fun leadershipChanged(term: Long?) {
        val abandoned = pending.filterValues { it.term != term }
        pending.keys.removeAll(abandoned.keys)
        abandoned.values.forEach { it.onOutcome(EntryOutcome.Unknown) }
    }

    private class Pending(val term: Long, val onOutcome: (EntryOutcome) -> Unit)
}

/** Outcome of proposing a log entry. */
internal sealed class EntryOutcome {
    /** The entry was committed and applied. */
    class Applied(val output: ConsensusOutput.Applied) : EntryOutcome()

    /** The entry is not in the log and never will be. */
    class NotProposed(val leader: ProcessName?) : EntryOutcome()

    /** This leader did not append the entry because of [refusal]. */
    class Refused(val refusal: ProposalRefusal) : EntryOutcome()

    /** The leader changed before the entry was committed; it may or may not take effect. */
    data object Unknown : EntryOutcome()
}

/** Outcome of proposing a command. */
internal sealed class ProposalOutcome {
    /** The command was applied with [result]. */
    class Applied(val result: ControlResult) : ProposalOutcome()

    /** The command was not applied and never will be. */
    class NotProposed(val leader: ProcessName?) : ProposalOutcome()

    /** This leader did not accept the command because of [refusal]; it is not applied. */
    class Refused(val refusal: ProposalRefusal) : ProposalOutcome()

    /** The command may or may not be applied; resending it to the next leader is safe. */
    data object Unknown : ProposalOutcome()
}
