package org.hibiscusproxy.consensus

/** Whether this log contains the entry that precedes the entries of [request]. */
internal fun ReplicaState.matches(request: AppendRequest): Boolean =
    request.previousIndex <= log.baseIndex ||
        log.termAt(request.previousIndex) == request.previousTerm

/**
 * Appends the entries of [request] and returns the last index that now matches the leader's log.
 * Entries up to the base index are skipped: they are committed and hence equal in both logs.
 */
internal fun ReplicaState.appendEntries(request: AppendRequest): Long {
    request.entries.forEach { entry ->
        if (entry.index <= log.baseIndex) return@forEach
        val known = log.termAt(entry.index)
        if (known == entry.term) return@forEach
        if (known != null) {
            check(entry.index > commitIndex) { "entry ${entry.index} is committed" }
            log.truncateFrom(entry.index)
        }
        log.append(entry)
    }
    val last = request.previousIndex + request.entries.size
    commitThrough(minOf(request.commitIndex, last))
    return last
}

/**
 * The index at which the leader retries after [request]: before the entries of the conflicting
 * term.
 */
internal fun ReplicaState.retryIndex(request: AppendRequest): Long {
    var index = minOf(request.previousIndex - 1, log.lastIndex)
    val conflicting = log.termAt(request.previousIndex) ?: return maxOf(index, commitIndex)
    while (index > commitIndex && log.termAt(index) == conflicting) index--
    return maxOf(index, commitIndex)
}

/**
 * The reply to [request]; [index] is the last matching index, or after a refusal where to retry.
 */
internal fun ReplicaState.replyTo(request: AppendRequest, isAccepted: Boolean, index: Long) =
    AppendReply(identity, term, request.round, request.previousIndex, isAccepted, index)
