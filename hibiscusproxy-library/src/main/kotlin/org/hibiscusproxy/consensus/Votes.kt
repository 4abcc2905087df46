package org.hibiscusproxy.consensus

/**
 * Whether this replica may vote for the candidate of [request] in the requested term. A candidate
 * that knows of lost identities may need fewer votes than a leader of the same term that is among
 * them had, so this replica must not have taken part in that term.
 */
internal fun ReplicaState.canVote(request: VoteRequest): Boolean {
    val mayVoteInTerm = when {
        request.term > term -> true
        request.term < term || request.isPreVote -> false
        request.lost.isNotEmpty() -> hardState.vote == request.candidate
        else -> hardState.vote in setOf(NO_IDENTITY, request.candidate)
    }
    val isUpToDate = request.lastTerm > log.lastTerm ||
        request.lastTerm == log.lastTerm && request.lastIndex >= log.lastIndex
    return mayVoteInTerm && isUpToDate
}

/** The reply to [request]; it carries the requested term if the vote is granted. */
internal fun ReplicaState.replyTo(request: VoteRequest, isGranted: Boolean) = VoteReply(
    identity,
    if (isGranted) request.term else term,
    request.candidate,
    isGranted,
    request.isPreVote,
)
