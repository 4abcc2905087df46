package org.hibiscusproxy.consensus

import org.hibiscusproxy.model.ProcessName

/**
 * One attempt to become the leader of [term]. The preliminary round changes no state anywhere, so
 * that a replica that was partitioned does not depose a leader that a majority still hears.
 */
internal class Election(
    private val state: ReplicaState,
    private val term: Long,
    val isPreVote: Boolean,
) {
    private val supporters = mutableSetOf<ProcessName>()

    /** Whether a majority of the voters supports this replica. */
    val isWon: Boolean
        get() = supporters.count { it in state.membership.voters } >= state.membership.majority

    /** Counts this replica and asks the other voters. */
    fun start() {
        supporters.add(state.name)
        state.membership.members.forEach { (process, member) ->
            if (member.isVoter && process != state.name) {
                state.send(process, request(member.identity))
            }
        }
    }

    /** Counts the answer of [sender] if it is from the identity that the membership names. */
    fun count(sender: ProcessName, reply: VoteReply) {
        val isCurrent = reply.term == term && reply.isPreVote == isPreVote &&
            reply.candidate == state.identity
        if (!isCurrent || !reply.isGranted) return
        if (state.membership.isVoter(sender, reply.identity)) supporters.add(sender)
    }

    private fun request(receiver: Long) = VoteRequest(
        cluster = state.cluster,
        receiver = receiver,
        term = term,
        candidate = state.identity,
        lastIndex = state.log.lastIndex,
        lastTerm = state.log.lastTerm,
        isPreVote = isPreVote,
    )
}
