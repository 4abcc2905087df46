package org.hibiscusproxy.consensus

import kotlin.time.ComparableTimeMark
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Payload

/**
 * One replica of the replicated log, driven from outside: inputs and time go in, [flush] writes and
 * syncs what they led to and returns what to send and what was applied. One flush after many inputs
 * is a group commit. Not safe for concurrent use.
 */
interface Consensus {
    /** What this replica is at present. */
    val role: ConsensusRole

    /** Current term. */
    val term: Long

    /** The leader of the current term, if known. */
    val leader: ProcessName?

    /**
     * Newest instant at which a majority is known to have accepted this replica as the leader, or
     * null. It is the sending time of the heartbeat that the majority answered, so that a leader
     * lease counted from it is safe against delays.
     */
    val majorityContact: ComparableTimeMark?

    /** Whether this leader has applied an entry of its own term, so that its state is current. */
    val isReady: Boolean

    /** Takes a message from [sender]. */
    fun receive(sender: ProcessName, message: Payload, now: ComparableTimeMark)

    /** Lets timeouts expire. */
    fun tick(now: ComparableTimeMark)

    /** Appends [command] if this replica is the leader. */
    fun propose(command: Payload, now: ComparableTimeMark): ProposalResult

    /** Proposes to add, promote or remove one member. */
    fun changeMembership(change: MembershipChange, now: ComparableTimeMark): ProposalResult

    /** Writes and syncs pending state, applies what is committed, and returns the outputs. */
    fun flush(now: ComparableTimeMark): List<ConsensusOutput>
}

/** What a replica is at present. */
enum class ConsensusRole { LEADER, FOLLOWER, CANDIDATE, NON_VOTER }

/** Answer to a proposal. Acceptance is not commitment: that follows as [ConsensusOutput.Applied]. */
sealed class ProposalResult {
    /** The command is at [index] of [term] in the leader's log. */
    data class Accepted(val index: Long, val term: Long) : ProposalResult()

    /** This replica is not the leader. */
    data class NotLeader(val leader: ProcessName?) : ProposalResult()

    /** Another membership change is not committed yet. */
    data object MembershipChangePending : ProposalResult()
}

/** One change of the set of members. */
sealed class MembershipChange {
    /** Adds [process], which has identity [identity], as a non-voter. */
    data class AddNonVoter(val process: ProcessName, val identity: Long) : MembershipChange()

    /** Makes a non-voter that has caught up a voter. */
    data class Promote(val process: ProcessName) : MembershipChange()

    /** Removes a member. */
    data class Remove(val process: ProcessName) : MembershipChange()
}

/** Something that the driver of a replica has to act on. */
sealed class ConsensusOutput {
    /** Send [message] to [receiver]. */
    data class Send(val receiver: ProcessName, val message: Payload) : ConsensusOutput()

    /** The entry at [index] of [term] was applied on this replica with [result]. */
    data class Applied(val index: Long, val term: Long, val result: Payload) : ConsensusOutput()

    /** Role or leader changed; proposals of earlier terms that were not applied may be lost. */
    data class LeadershipChanged(
        val role: ConsensusRole,
        val term: Long,
        val leader: ProcessName?,
    ) : ConsensusOutput()

    /** The state machine was replaced by a snapshot that covers everything up to [index]. */
    data class SnapshotInstalled(val index: Long) : ConsensusOutput()
}
