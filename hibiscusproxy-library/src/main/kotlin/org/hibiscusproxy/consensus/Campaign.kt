package org.hibiscusproxy.consensus

import kotlin.time.ComparableTimeMark
import org.hibiscusproxy.model.ProcessName

/** This replica's candidacy: a pre-vote round, followed by the vote if the pre-vote is won. */
internal class Campaign(private val state: ReplicaState, private val timer: ElectionTimer) {
    private var election: Election? = null

    /** Whether an election is in progress. */
    val isRunning: Boolean get() = election != null

    /** Starts the pre-vote round; returns whether the election is already won. */
    fun start(now: ComparableTimeMark): Boolean = run(isPreVote = true, now)

    /** Counts a vote reply; returns whether this wins the election. */
    fun count(sender: ProcessName, reply: VoteReply, now: ComparableTimeMark): Boolean {
        val current = election ?: return false
        current.count(sender, reply)
        return finishIfWon(current, now)
    }

    /** Abandons the election. */
    fun end() {
        election = null
    }

    private fun run(isPreVote: Boolean, now: ComparableTimeMark): Boolean {
        val term = state.term + termStep()
        if (!isPreVote) {
            state.enterTerm(term)
            state.update(state.hardState.copy(vote = state.identity))
        }
        val next = Election(state, term, isPreVote)
        election = next
        timer.restart(now)
        next.start()
        return finishIfWon(next, now)
    }

    /**
     * Without the votes of lost identities, this replica cannot know the terms in which these have
     * led last, and goes beyond all that they can have reached.
     */
    private fun termStep(): Long =
        if (state.quorums().election < state.membership.majority) TERMS_OF_LOST_LEADERS else 1

    private fun finishIfWon(current: Election, now: ComparableTimeMark): Boolean {
        if (!current.isWon) return false
        if (current.isPreVote) return run(isPreVote = false, now)
        election = null
        return true
    }

    private companion object {
        /** Elections of several days. */
        const val TERMS_OF_LOST_LEADERS = 1L shl 20
    }
}
