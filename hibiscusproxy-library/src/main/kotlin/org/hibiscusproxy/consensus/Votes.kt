package org.hibiscusproxy.consensus

/** Whether this replica may vote for the candidate of [request] in its term. */
internal fun ReplicaState.canVote(request: VoteRequest): Boolean {
    val isFree = when {
        request.term > term -> true
        request.term < term || request.isPreVote -> false
        else -> hardState.vote in setOf(NO_IDENTITY, request.candidate)
    }
    val isUpToDate = request.lastTerm > log.lastTerm ||
        request.lastTerm == log.lastTerm && request.lastIndex >= log.lastIndex
    return isFree && isUpToDate
}

/** The answer to [request]; it names the requested term if the vote is granted. */
internal fun ReplicaState.answer(request: VoteRequest, isGranted: Boolean) = VoteReply(
    identity,
    if (isGranted) request.term else term,
    request.candidate,
    isGranted,
    request.isPreVote,
)
