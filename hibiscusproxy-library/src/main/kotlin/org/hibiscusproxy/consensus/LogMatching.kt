package org.hibiscusproxy.consensus

/** Whether the entries of [request] join this log without a gap or a conflict before them. */
internal fun ReplicaState.matches(request: AppendRequest): Boolean =
    request.previousIndex <= log.baseIndex ||
        log.termAt(request.previousIndex) == request.previousTerm

/**
 * Takes the entries of [request] and returns the last index that now matches the leader's log.
 * Entries up to the base are committed, hence the same in both logs.
 */
internal fun ReplicaState.take(request: AppendRequest): Long {
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

/** Where the leader of [request] tries next: before the whole term that conflicts. */
internal fun ReplicaState.retryIndex(request: AppendRequest): Long {
    var index = minOf(request.previousIndex - 1, log.lastIndex)
    val conflicting = log.termAt(request.previousIndex) ?: return maxOf(index, commitIndex)
    while (index > commitIndex && log.termAt(index) == conflicting) index--
    return maxOf(index, commitIndex)
}

/** The answer to [request]; [index] matches the leader's log or is where it tries next. */
internal fun ReplicaState.answer(request: AppendRequest, isAccepted: Boolean, index: Long) =
    AppendReply(identity, term, request.round, request.previousIndex, isAccepted, index)
