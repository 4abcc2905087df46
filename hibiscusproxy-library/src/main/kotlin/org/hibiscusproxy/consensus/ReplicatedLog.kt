package org.hibiscusproxy.consensus

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Payload

/**
 * A replicated log based on Raft, with [Quorums] that keep acknowledged entries when
 * [ReplicatedLogSettings.toleratedLosses] disks are lost. Votes and acknowledgements count only for
 * the identity that the membership lists, and [flush] releases them only after they are durable. A
 * replica grants no vote while it has contact with a leader, nor for an election timeout after its
 * start, since it does not store when it last had such contact; [majorityContact] relies on both.
 *
 * [flush] throws [StorageFailureException] if the storage fails; every later call throws it too.
 */
class ReplicatedLog private constructor(
    private val state: ReplicaState,
    private val stateMachine: StateMachine,
    recovered: StoredState,
    now: ComparableTimeMark,
) : Consensus {
    private val formation = ClusterFormation(state)
    private val receiver = SnapshotReceiver()
    private val applier = Applier(state, stateMachine, recovered.snapshot)
    private var leadership: Leadership? = null
    private val timer = ElectionTimer(state.settings, state.random, now)
    private val campaign = Campaign(state, timer)
    private var reported = ConsensusOutput.LeadershipChanged(role, term, null)
    private var commitIndexSavedAt = now
    private var failure: StorageFailureException? = null

    /** Truncation of the stored log on opening, if there was one. */
    val repair: TailRepair? = recovered.repair

    override var leader: ProcessName? = null
        private set

    override val role: ConsensusRole
        get() = when {
            leadership != null -> ConsensusRole.LEADER
            !state.isVoter -> ConsensusRole.NON_VOTER
            campaign.isRunning -> ConsensusRole.CANDIDATE
            else -> ConsensusRole.FOLLOWER
        }

    override val term: Long get() = state.term

    override val majorityContact: ComparableTimeMark? get() = leadership?.majorityContact

    override val isReady: Boolean
        get() = leadership?.let { applier.appliedIndex >= it.noOperationIndex } ?: false

    /** This replica's identity, generated when its storage was created. */
    val identity: Long get() = state.identity

    /** The members, or what an observer has learned about them. */
    val knownMembers: List<ProcessName>
        get() = (
            state.membership.members.keys +
                formation.knownProcesses.filter { state.isObserver }
            )
            .toList()

    /** Whether this replica has no disk and never becomes a member. */
    val isObserver: Boolean get() = state.isObserver

    /** Identities that are known to have lost their disks. */
    val lostIdentities: Set<Long> get() = state.lost

    /** The latest membership that this replica knows, committed or not. */
    val membership: Membership get() = state.membership

    /** Index up to which the log is known to be committed. */
    val commitIndex: Long get() = state.commitIndex

    /** Index up to which the state machine has applied the log. */
    val appliedIndex: Long get() = applier.appliedIndex

    /** Announced identities that are not those of members, by name. */
    val unknownIdentities: Map<ProcessName, Long> get() = formation.unknownIdentities

    /** Adds [processes] to those that this replica announces itself to when it has to. */
    fun addContacts(processes: List<ProcessName>) = formation.addContacts(processes)

    /** Input for [MembershipReconciler], or null if this replica is not the leader. */
    fun memberView(now: ComparableTimeMark): MemberView? = leadership?.let {
        LeaderMemberView(state, formation.recentUnknownIdentities(now), it, isReady, now)
    }

    /** Number of messages that could not be decoded. */
    var undecodableMessages: Long = 0
        private set

    override fun receive(sender: ProcessName, message: Payload, now: ComparableTimeMark) {
        checkNotFailed()
        val decoded = ConsensusMessage.decode(message)
        if (decoded == null) {
            undecodableMessages++
            return
        }
        dispatch(sender, decoded, now)
    }

    private fun dispatch(
        sender: ProcessName,
        message: ConsensusMessage,
        now: ComparableTimeMark,
    ): Unit = when (message) {
        is Announcement -> formation.receive(sender, message)
        is AnnouncementReply -> formation.receive(sender, message)
        is ClusterCreated -> formation.receive(message)
        is VoteRequest -> onVoteRequest(sender, message, now)
        is VoteReply -> onVoteReply(sender, message, now)
        is Heartbeat -> onHeartbeat(sender, message, now)
        is AppendRequest -> onAppend(sender, message, now)
        is SnapshotChunk -> onSnapshotChunk(sender, message, now)

        is HeartbeatReply -> onReply(sender, message.term, now) { it.receive(sender, message) }
        is AppendReply -> onReply(sender, message.term, now) { it.receive(sender, message) }
        is SnapshotReply -> onReply(sender, message.term, now) { it.receive(sender, message) }
    }

    override fun tick(now: ComparableTimeMark) {
        checkNotFailed()
        formation.tick(now, leadership == null && timer.isIsolated(now))
        if (now - commitIndexSavedAt >= state.settings.heartbeatInterval) {
            commitIndexSavedAt = now
            state.saveCommitIndex()
        }
        val current = leadership
        if (current != null) {
            current.tick(now)
            if (current.hasLostMajority()) {
                stepDown(LeadershipLoss.MajorityLost(current.contacts(now)), now)
            }
        } else if (state.isVoter && timer.isDue(now)) {
            leader = null
            if (campaign.start(now)) becomeLeader(now)
        }
    }

    override fun propose(command: Payload, now: ComparableTimeMark): ProposalResult {
        checkNotFailed()
        val current = leadership ?: return ProposalResult.NotLeader(leader)
        state.refusalOf(command)?.let { return ProposalResult.Refused(it) }
        return accepted(current.append(EntryContent.Command(command)))
    }

    /**
     * Proposes [change]. A leader returns [ProposalResult.MembershipChangePending] for every
     * refusal; [refusalOf] returns the reason.
     */
    override fun changeMembership(
        change: MembershipChange,
        now: ComparableTimeMark,
    ): ProposalResult {
        checkNotFailed()
        val current = leadership ?: return ProposalResult.NotLeader(leader)
        if (refusalOf(change, now) != null) return ProposalResult.MembershipChangePending
        val next = state.membership.after(change)
        return accepted(current.append(EntryContent.MembershipEntry(next)))
    }

    /** Why this replica refuses to propose [change] at [now], or null if it would propose it. */
    fun refusalOf(change: MembershipChange, now: ComparableTimeMark): MembershipRefusal? {
        val current = leadership ?: return MembershipRefusal.NOT_LEADER
        return state.refusalOf(change, current, isReady, now)
    }

    override fun flush(now: ComparableTimeMark): List<ConsensusOutput> {
        checkNotFailed()
        try {
            state.persist()
            installSnapshot()
            leadership?.advanceCommit()
            applier.apply()
            stepDownIfRemoved(now)
            leadership?.replicate(now)
            applier.compact()
        } catch (thrown: StorageFailureException) {
            failure = thrown
            throw thrown
        }
        reportLeadership()
        val outputs = state.outbox.toList()
        state.outbox.clear()
        return outputs
    }

    private fun onVoteRequest(sender: ProcessName, request: VoteRequest, now: ComparableTimeMark) {
        if (!state.hasCluster || !state.acceptAddress(request.cluster, request.receiver)) return
        state.recordLost(request.lost)
        if (request.candidate in state.lost) return
        val isGranted = !hasRecentLeader(now) && state.canVote(request)
        if (isGranted && !request.isPreVote) {
            if (request.term > term) becomeFollower(request.term, leader = null, now)
            state.update(state.hardState.copy(vote = request.candidate))
            timer.restart(now)
        }
        state.send(sender, state.replyTo(request, isGranted))
    }

    private fun hasRecentLeader(now: ComparableTimeMark): Boolean {
        val current = leadership ?: return timer.hasRecentLeader(now)
        val contact = current.majorityContact
        return contact != null && now - contact < state.settings.electionTimeout
    }

    private fun onVoteReply(sender: ProcessName, reply: VoteReply, now: ComparableTimeMark) {
        if (!reply.isGranted && reply.term > term) {
            if (state.membership.contains(sender, reply.identity)) {
                becomeFollower(reply.term, null, now)
            }
            return
        }
        if (campaign.count(sender, reply, now)) becomeLeader(now)
    }

    private fun becomeLeader(now: ComparableTimeMark) {
        leader = state.name
        leadership = Leadership(state, now)
    }

    private fun onHeartbeat(sender: ProcessName, message: Heartbeat, now: ComparableTimeMark) {
        if (!state.hasCluster) return
        if (message.tag != peerTag(state.cluster, state.identity, message.term)) return
        if (acceptLeader(sender, message.term, now)) {
            state.commitThrough(minOf(message.commitIndex, state.log.lastIndex))
        }
        state.send(sender, HeartbeatReply(term, message.round, message.tag))
    }

    private fun onAppend(sender: ProcessName, message: AppendRequest, now: ComparableTimeMark) {
        if (!state.acceptAddress(message.cluster, message.receiver)) return
        state.recordLost(message.lost)
        if (message.leader in state.lost) return
        val isAccepted = acceptLeader(sender, message.term, now) && state.matches(message)
        val index = if (isAccepted) state.appendEntries(message) else state.retryIndex(message)
        state.send(sender, state.replyTo(message, isAccepted, index))
    }

    private fun onSnapshotChunk(
        sender: ProcessName,
        chunk: SnapshotChunk,
        now: ComparableTimeMark,
    ) {
        if (!state.acceptAddress(chunk.cluster, chunk.receiver)) return
        state.recordLost(chunk.lost)
        if (chunk.leader in state.lost) return
        val received = when {
            !acceptLeader(sender, chunk.term, now) -> 0
            chunk.index <= state.commitIndex -> chunk.totalBytes
            else -> receiver.add(chunk)
        }
        val reply = SnapshotReply(state.identity, term, chunk.round, chunk.index, received)
        state.send(sender, reply)
    }

    /** Follows [sender] as the leader of [term], unless that term is over. */
    private fun acceptLeader(sender: ProcessName, term: Long, now: ComparableTimeMark): Boolean {
        if (term < this.term) return false
        if (term == this.term && leadership != null) {
            check(state.lost.isNotEmpty()) { "$sender also leads term $term" }
            return false
        }
        becomeFollower(term, sender, now)
        timer.recordLeaderContact(now)
        return true
    }

    private fun onReply(
        sender: ProcessName,
        term: Long,
        now: ComparableTimeMark,
        handle: (Leadership) -> Unit,
    ) {
        when {
            term > this.term -> {
                if (sender in state.membership.members) becomeFollower(term, null, now)
            }

            term == this.term -> leadership?.let(handle)
        }
    }

    private fun becomeFollower(term: Long, leader: ProcessName?, now: ComparableTimeMark) {
        if (term > this.term) {
            state.enterTerm(term)
            this.leader = null
        }
        if (leadership != null) stepDown(LeadershipLoss.TermEnded(term), now)
        campaign.end()
        if (leader != null) this.leader = leader
    }

    /**
     * Ends the leadership. This replica grants no vote for an election timeout after the last
     * contact with a majority, since a lease that starts then relies on it.
     */
    private fun stepDown(cause: LeadershipLoss, now: ComparableTimeMark) {
        state.outbox.add(ConsensusOutput.LeadershipLost(cause))
        leadership?.majorityContact?.let(timer::recordMajorityContact)
        leadership = null
        leader = null
        timer.restart(now)
    }

    private fun stepDownIfRemoved(now: ComparableTimeMark) {
        if (leadership == null || state.membership.contains(state.name, state.identity)) return
        if (state.log.membershipIndex <= state.commitIndex) stepDown(LeadershipLoss.Removed, now)
    }

    private fun installSnapshot() {
        val snapshot = receiver.complete ?: return
        receiver.clear()
        applier.install(snapshot)
    }

    private fun reportLeadership() {
        val current = ConsensusOutput.LeadershipChanged(role, term, leader)
        if (current == reported) return
        reported = current
        state.outbox.add(current)
    }

    private fun accepted(index: Long) = ProposalResult.Accepted(index, term)

    private fun checkNotFailed() {
        failure?.let { throw it }
    }

    companion object {
        /**
         * Opens a replica from the state in [storage].
         *
         * @param random source of timeouts and of the identity of a new cluster; its seed must
         * differ between processes
         * @return [StorageFailure] if the stored state is damaged or cannot be read
         */
        fun open(
            settings: ReplicatedLogSettings,
            storage: LogStorage,
            stateMachine: StateMachine,
            random: Random,
            now: ComparableTimeMark,
        ): Result<ReplicatedLog, StorageFailure> = storage.recover().map { recovered ->
            val state = ReplicaState(settings, storage, random, recovered)
            ReplicatedLog(state, stateMachine, recovered, now)
        }
    }
}
