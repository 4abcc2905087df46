package org.hibiscusproxy.consensus

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Payload

/**
 * State of a leader during its term: sends heartbeats in numbered rounds, replicates entries with
 * one request in flight per member, advances the commit index by the members' acknowledgements, and
 * tracks the last contact with a majority.
 */
internal class Leadership(
    private val state: ReplicaState,
    private val electedAt: ComparableTimeMark,
) {
    private val peers = sortedMapOf<ProcessName, PeerProgress>(compareBy { it.value })
    private val rounds = ArrayDeque<Round>()
    private var lastTick = electedAt

    /** Time since the election, without the time in which this leader was itself delayed. */
    private var runningTime = Duration.ZERO

    /** Lost identities that all entries from [lostKnownFrom] on were sent with. */
    private var knownLost = state.lost
    private var lostKnownFrom = state.log.lastIndex + 1

    /** End of the last delay of this leader that was longer than an election timeout. */
    private var resumedAt = electedAt

    /** Index of the entry that has to be applied before the state is known to be up to date. */
    val noOperationIndex: Long = state.log.lastIndex + 1

    /**
     * Sending time of the latest round that a majority answered, or all voters that are not known to
     * be lost; this replica counts as of the last tick.
     */
    val majorityContact: ComparableTimeMark?
        get() {
            val quorums = state.quorums()
            return quorums.present
                .map { if (it == state.name) lastTick else peers[it]?.lastContact }
                .sortedWith(compareByDescending(nullsFirst()) { it })
                .getOrNull(quorums.contact - 1)
        }

    init {
        append(EntryContent.NoOperation)
        startRound(electedAt)
    }

    fun append(content: EntryContent): Long {
        val index = state.log.lastIndex + 1
        state.log.append(LogEntry(state.term, index, content))
        if (content is EntryContent.MembershipEntry) trackPeers()
        return index
    }

    /** Sends heartbeats in a new round if [now] is at least an interval after the last round. */
    fun tick(now: ComparableTimeMark) {
        runningTime += minOf(now - lastTick, state.settings.heartbeatInterval)
        if (now - lastTick > state.settings.electionTimeout) resumedAt = now
        lastTick = now
        recordLost()
        if (now - rounds.last().sentAt < state.settings.heartbeatInterval) return
        startRound(now)
        peers.forEach { (process, peer) ->
            val tag = peerTag(state.cluster, peer.identity, state.term)
            val commitIndex = minOf(state.commitIndex, peer.matchIndex)
            val heartbeat = Heartbeat(state.term, commitIndex, rounds.last().number, tag)
            state.send(process, heartbeat)
        }
    }

    /**
     * Whether a majority has not answered for an election timeout. A delay of this leader itself
     * does not count: it sent no heartbeats meanwhile that could have been answered.
     */
    fun hasLostMajority(): Boolean {
        val contact = majorityContact?.let { maxOf(it, electedAt) } ?: electedAt
        val answered = rounds.lastOrNull { it.sentAt <= contact }?.runningTime ?: Duration.ZERO
        return runningTime - answered > state.settings.electionTimeout
    }

    /**
     * Whether [process] is close enough to the end of the log, and answered recently, to be
     * promoted.
     */
    fun isCaughtUp(process: ProcessName, now: ComparableTimeMark): Boolean {
        val peer = peers[process] ?: return false
        val contact = peer.lastContact ?: return false
        val isRecent = now - contact <= state.settings.electionTimeout
        val isClose = peer.matchIndex + state.settings.promotionLagEntries >= state.log.lastIndex
        return isRecent && isClose && peer.matchIndex >= noOperationIndex
    }

    /** Whether the voters that commit an entry under [next] include only recently heard ones. */
    fun reachesCommitOf(next: Membership, now: ComparableTimeMark): Boolean {
        val quorums = state.quorums(next)
        val reachable = quorums.present.count { voter ->
            val contact = if (voter == state.name) now else peers[voter]?.lastContact
            contact != null && now - contact <= state.settings.electionTimeout
        }
        return reachable >= quorums.commit
    }

    /**
     * Since when [process] has not answered although this leader ran: its last answer, or when it
     * was added or this leader resumed after a delay. Null for this replica.
     */
    fun lastContact(process: ProcessName): ComparableTimeMark? {
        val peer = peers[process] ?: return null
        return maxOf(peer.lastContact ?: peer.addedAt, peer.addedAt, resumedAt)
    }

    /** What is known about the other members at [now], to explain a loss of the leadership. */
    fun contacts(now: ComparableTimeMark): List<PeerContact> = peers.map { (process, peer) ->
        PeerContact(
            process,
            peer.lastContact?.let { now - it },
            peer.requestSentAt?.let { now - it },
            peer.resentRequests,
            peer.resentBytes,
        )
    }

    fun receive(sender: ProcessName, reply: HeartbeatReply) {
        val peer = peers[sender] ?: return
        if (reply.tag != peerTag(state.cluster, peer.identity, state.term)) return
        peer.recordContact(sendTimeOf(reply.round))
    }

    fun receive(sender: ProcessName, reply: AppendReply) {
        val peer = peerOf(sender, reply.identity) ?: return
        peer.recordContact(sendTimeOf(reply.round))
        val isAwaited = reply.previousIndex == peer.nextIndex - 1
        if (isAwaited) peer.requestSentAt = null
        if (reply.isAccepted) {
            peer.recordMatch(reply.index)
        } else if (isAwaited) {
            peer.nextIndex = minOf(reply.index + 1, peer.nextIndex - 1).coerceAtLeast(1)
        }
    }

    fun receive(sender: ProcessName, reply: SnapshotReply) {
        val peer = peerOf(sender, reply.identity) ?: return
        peer.recordContact(sendTimeOf(reply.round))
        val transfer = peer.transfer ?: return
        if (reply.index != transfer.index) return
        peer.requestSentAt = null
        transfer.received = reply.received.coerceIn(0, transfer.content.size)
        if (transfer.received < transfer.content.size) return
        peer.transfer = null
        peer.recordMatch(transfer.index)
    }

    /** Sends missing entries or snapshot chunks to each member that may be sent a request. */
    fun replicate(now: ComparableTimeMark) {
        peers.forEach { (process, peer) ->
            if (!peer.maySend(now, state.settings)) return@forEach
            val isResend = peer.requestSentAt != null
            if (peer.transfer == null && peer.nextIndex <= state.log.baseIndex) {
                peer.transfer = loadSnapshot()
            }
            val message = nextChunk(peer) ?: nextEntries(peer) ?: return@forEach
            peer.requestSentAt = now
            val bytes = state.send(process, message)
            if (isResend) peer.recordResend(bytes)
        }
    }

    /**
     * Commits the entries that are durable at enough voters. Only an entry of this term counts,
     * since an earlier one can still be overwritten although a majority holds it.
     *
     * Lost identities reduce the number only for entries that were sent together with them: their
     * holders then ignore what a lost leader may have sent before.
     */
    fun advanceCommit() {
        commitThroughDurable(state.quorums(lost = emptySet()).commit, 0)
        commitThroughDurable(state.quorums(lost = knownLost).commit, lostKnownFrom)
    }

    private fun commitThroughDurable(voters: Int, minimumIndex: Long) {
        val index = state.quorums(lost = knownLost).present
            .map { if (it == state.name) state.log.durableIndex else peers[it]?.matchIndex ?: 0 }
            .sortedDescending()
            .getOrNull(voters - 1) ?: return
        val isOfThisTerm = state.log.termAt(index) == state.term
        if (index >= minimumIndex && isOfThisTerm) state.commitThrough(index)
    }

    /** Starts to send newly lost identities, with an entry that shows who has received them. */
    private fun recordLost() {
        if (state.lost == knownLost) return
        knownLost = state.lost
        lostKnownFrom = append(EntryContent.NoOperation)
    }

    private fun peerOf(sender: ProcessName, identity: Long): PeerProgress? =
        peers[sender]?.takeIf { it.identity == identity }

    private fun trackPeers() {
        val members = state.membership.members
        peers.entries.removeIf { (process, peer) -> members[process]?.identity != peer.identity }
        members.forEach { (process, member) ->
            if (process != state.name) {
                peers.getOrPut(process) {
                    PeerProgress(member.identity, state.log.lastIndex, lastTick)
                }
            }
        }
    }

    private fun startRound(now: ComparableTimeMark) {
        trackPeers()
        rounds.addLast(Round((rounds.lastOrNull()?.number ?: 0) + 1, now, runningTime))
        if (rounds.size > RETAINED_ROUNDS) rounds.removeFirst()
    }

    private fun sendTimeOf(round: Long): ComparableTimeMark? =
        rounds.firstOrNull { it.number == round }?.sentAt

    private fun loadSnapshot(): SnapshotTransfer {
        val snapshot = checkNotNull(state.storage.readSnapshot().orFail()) {
            "entries up to ${state.log.baseIndex} are discarded without a snapshot"
        }
        return SnapshotTransfer(snapshot.index, snapshot.encode())
    }

    private fun nextChunk(peer: PeerProgress): SnapshotChunk? {
        val transfer = peer.transfer ?: return null
        val size = state.settings.snapshotChunkBytes
        val end = minOf(transfer.content.size, transfer.received + size)
        return SnapshotChunk(
            cluster = state.cluster,
            receiver = peer.identity,
            term = state.term,
            round = rounds.last().number,
            index = transfer.index,
            totalBytes = transfer.content.size,
            offset = transfer.received,
            content = Payload(transfer.content.copyOfRange(transfer.received, end)),
            leader = state.identity,
            lost = state.hardState.lost,
        )
    }

    private fun nextEntries(peer: PeerProgress): AppendRequest? {
        if (peer.nextIndex > state.log.lastIndex) return null
        val previousIndex = peer.nextIndex - 1
        return AppendRequest(
            cluster = state.cluster,
            receiver = peer.identity,
            term = state.term,
            round = rounds.last().number,
            previousIndex = previousIndex,
            previousTerm = checkNotNull(state.log.termAt(previousIndex)),
            commitIndex = state.commitIndex,
            entries = state.log.batch(peer.nextIndex, state.settings.maximumBatchBytes),
            leader = state.identity,
            lost = state.hardState.lost,
        )
    }

    private data class Round(
        val number: Long,
        val sentAt: ComparableTimeMark,
        val runningTime: Duration,
    )

    private companion object {
        /** Replies to older rounds cannot matter: a leader without newer ones has stepped down. */
        const val RETAINED_ROUNDS = 64
    }
}
