package org.hibiscusproxy.consensus

import org.hibiscusproxy.model.ProcessName

/**
 * One attempt to become the leader of [term]. The pre-vote round changes no state on any replica,
 * so a replica that returns from a partition does not depose a leader that a majority still
 * follows.
 */
internal class Election(
    private val state: ReplicaState,
    private val term: Long,
    val isPreVote: Boolean,
) {
    private val grantingVoters = mutableSetOf<ProcessName>()

    /** Whether enough voters that are not known to be lost support this replica. */
    val isWon: Boolean
        get() {
            val quorums = state.quorums()
            return grantingVoters.count { it in quorums.present } >= quorums.election
        }

    /** Votes for this replica and requests the votes of the other voters. */
    fun start() {
        grantingVoters.add(state.name)
        state.membership.members.forEach { (process, member) ->
            if (member.isVoter && process != state.name) {
                state.send(process, request(member.identity))
            }
        }
    }

    /** Counts the vote of [sender] if it comes from the identity that the membership lists. */
    fun count(sender: ProcessName, reply: VoteReply) {
        val isCurrent = reply.term == term && reply.isPreVote == isPreVote &&
            reply.candidate == state.identity
        if (!isCurrent || !reply.isGranted) return
        if (state.membership.isVoter(sender, reply.identity)) grantingVoters.add(sender)
    }

    private fun request(receiver: Long) = VoteRequest(
        cluster = state.cluster,
        receiver = receiver,
        term = term,
        candidate = state.identity,
        lastIndex = state.log.lastIndex,
        lastTerm = state.log.lastTerm,
        isPreVote = isPreVote,
        lost = state.hardState.lost,
    )
}
