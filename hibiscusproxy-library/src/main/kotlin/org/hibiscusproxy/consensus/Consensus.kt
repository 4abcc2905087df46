package org.hibiscusproxy.consensus

import kotlin.time.ComparableTimeMark
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Payload

/**
 * One replica of the replicated log, without threads, clock or network of its own. The caller
 * passes in messages and the time; [flush] persists the resulting state and returns the messages to
 * send and the entries applied. One flush after several inputs is a group commit. Not safe for
 * concurrent use.
 */
interface Consensus {
    /** Current role of this replica. */
    val role: ConsensusRole

    val term: Long

    /** The leader of the current term, if known. */
    val leader: ProcessName?

    /**
     * Latest time at which a majority is known to have accepted this replica as the leader, or
     * null. It is the sending time of the heartbeat that the majority answered, so a leader lease
     * that starts then does not depend on message delays.
     */
    val majorityContact: ComparableTimeMark?

    /**
     * Whether this leader has applied an entry of its own term, so that its state is up to date.
     */
    val isReady: Boolean

    /** Processes a message from [sender]. */
    fun receive(sender: ProcessName, message: Payload, now: ComparableTimeMark)

    /** Handles timeouts that have expired by [now]. */
    fun tick(now: ComparableTimeMark)

    /** Appends [command] if this replica is the leader and can hold it. */
    fun propose(command: Payload, now: ComparableTimeMark): ProposalResult

    /** Proposes to add, promote or remove one member. */
    fun changeMembership(change: MembershipChange, now: ComparableTimeMark): ProposalResult

    /** Persists pending state, applies committed entries, and returns the outputs. */
    fun flush(now: ComparableTimeMark): List<ConsensusOutput>
}

/** Role of a replica. */
enum class ConsensusRole { LEADER, FOLLOWER, CANDIDATE, NON_VOTER }

/**
 * Result of a proposal. An accepted entry is committed only once it is [ConsensusOutput.Applied].
 */
sealed class ProposalResult {
    /** The command was appended to the leader's log at [index] of [term]. */
    data class Accepted(val index: Long, val term: Long) : ProposalResult()

    /** This replica is not the leader. */
    data class NotLeader(val leader: ProcessName?) : ProposalResult()

    /** The command was not appended because of [refusal]. */
    data class Refused(val refusal: ProposalRefusal) : ProposalResult()

    /** Another membership change is not committed yet. */
    data object MembershipChangePending : ProposalResult()
}

/** A change of one member. */
sealed class MembershipChange {
    /** Adds [process], which has identity [identity], as a non-voter. */
    data class AddNonVoter(val process: ProcessName, val identity: Long) : MembershipChange()

    /** Promotes a non-voter that has caught up to a voter. */
    data class Promote(val process: ProcessName) : MembershipChange()

    /** Removes a member. */
    data class Remove(val process: ProcessName) : MembershipChange()
}

/** An output of a replica for its caller to handle. */
sealed class ConsensusOutput {
    /** Send [message] to [receiver]. */
    data class Send(val receiver: ProcessName, val message: Payload) : ConsensusOutput()

    /** The entry at [index] of [term] was applied on this replica with [result]. */
    data class Applied(val index: Long, val term: Long, val result: Payload) : ConsensusOutput()

    /** The role or leader changed; unapplied proposals of earlier terms may be lost. */
    data class LeadershipChanged(
        val role: ConsensusRole,
        val term: Long,
        val leader: ProcessName?,
    ) : ConsensusOutput()

    /** This replica stopped leading because of [cause]. */
    data class LeadershipLost(val cause: LeadershipLoss) : ConsensusOutput()

    /** The state machine was restored from a snapshot of the entries up to [index]. */
    data class SnapshotInstalled(val index: Long) : ConsensusOutput()
}
