package org.hibiscusproxy.daemon.controller

import kotlin.time.TimeSource
import org.hibiscusproxy.consensus.Consensus
import org.hibiscusproxy.consensus.ConsensusOutput
import org.hibiscusproxy.consensus.ProposalResult
import org.hibiscusproxy.control.ControlCodec
import org.hibiscusproxy.control.ControlCommand
import org.hibiscusproxy.control.ControlResult
import org.hibiscusproxy.model.ProcessName

/** Commands that this leader proposed and that are not applied yet. Used by the worker only. */
internal class Proposals(
    private val log: Consensus,
    private val time: TimeSource.WithComparableMarks,
) {
    private val pending = HashMap<Long, Pending>()

    /** Proposes [command]; [onOutcome] is called once, at the latest when the leader changes. */
    fun propose(command: ControlCommand, onOutcome: (ProposalOutcome) -> Unit) {
        val result = log.propose(ControlCodec.encode(command), time.markNow())
        await(result) { outcome ->
            val mapped = when (outcome) {
                is EntryOutcome.Applied ->
                    ProposalOutcome.Applied(ControlCodec.decodeResult(outcome.output.result))

                is EntryOutcome.NotProposed -> ProposalOutcome.NotProposed(outcome.leader)
                is EntryOutcome.Unknown -> ProposalOutcome.Unknown
            }
            onOutcome(mapped)
        }
    }

    /** Waits for the entry that a call on the log proposed, of whatever content. */
    fun await(result: ProposalResult, onOutcome: (EntryOutcome) -> Unit) {
        when (result) {
            is ProposalResult.Accepted ->
                pending[result.index] = Pending(result.term, onOutcome)

            is ProposalResult.NotLeader -> onOutcome(EntryOutcome.NotProposed(result.leader))
            is ProposalResult.MembershipChangePending -> onOutcome(EntryOutcome.NotProposed(null))
        }
    }

    /** Takes an applied entry. An entry of another term took the place of the proposed one. */
    fun applied(output: ConsensusOutput.Applied) {
        val proposal = pending.remove(output.index) ?: return
        val isSame = proposal.term == output.term
        proposal.onOutcome(
            if (isSame) EntryOutcome.Applied(output) else EntryOutcome.NotProposed(log.leader),
        )
    }

    /**
     * Gives up proposals of other terms than [term], all of them when this replica leads none.
     * They may still be committed by others.
     */
    fun leadershipChanged(term: Long?) {
        val given = pending.filterValues { it.term != term }
        pending.keys.removeAll(given.keys)
        given.values.forEach { it.onOutcome(EntryOutcome.Unknown) }
    }

    private class Pending(val term: Long, val onOutcome: (EntryOutcome) -> Unit)
}

/** What became of an entry that was to be appended to the log. */
internal sealed class EntryOutcome {
    /** It is committed and applied. */
    class Applied(val output: ConsensusOutput.Applied) : EntryOutcome()

    /** It is not in the log and never will be. */
    class NotProposed(val leader: ProcessName?) : EntryOutcome()

    /** The leader changed before it was committed; it may take effect or not. */
    data object Unknown : EntryOutcome()
}

/** What became of a proposed command. */
internal sealed class ProposalOutcome {
    /** It was applied with [result]. */
    class Applied(val result: ControlResult) : ProposalOutcome()

    /** It was not and will not be applied. */
    class NotProposed(val leader: ProcessName?) : ProposalOutcome()

    /** It may be applied or not; sending it again to the next leader is safe. */
    data object Unknown : ProposalOutcome()
}
