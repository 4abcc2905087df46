package org.hibiscusproxy.consensus

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Payload

/**
 * A replicated log in the manner of Raft. Votes and acknowledgements count only for the identity
 * that the membership names, and leave with [flush] after they are durable. A replica hears no
 * candidate while it hears a leader, and not for an election timeout after its start either, since
 * it may have forgotten that it heard one; [majorityContact] relies on both.
 *
 * [flush] throws [StorageFailureException] if the storage fails; the replica then refuses all use.
 */
class ReplicatedLog private constructor(
    private val state: ReplicaState,
    private val stateMachine: StateMachine,
    recovered: StoredState,
    now: ComparableTimeMark,
) : Consensus {
    private val formation = Formation(state)
    private val receiver = SnapshotReceiver()
    private val applier = Applier(state, stateMachine, recovered.snapshot)
    private var leadership: Leadership? = null
    private val timer = ElectionTimer(state.settings, state.random, now)
    private val campaign = Campaign(state, timer)
    private var reported = ConsensusOutput.LeadershipChanged(role, term, null)
    private var commitRememberedAt = now
    private var failure: StorageFailureException? = null

    /** What was cut off the end of the stored log on opening, if anything. */
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

    /** This replica's identity, drawn when its storage was created. */
    val identity: Long get() = state.identity

    /** The newest membership this replica knows, committed or not. */
    val membership: Membership get() = state.membership

    /** Index up to which the log is known to be committed. */
    val commitIndex: Long get() = state.commitIndex

    /** Index up to which the state machine has applied the log. */
    val appliedIndex: Long get() = applier.appliedIndex

    /** Processes that introduced themselves with an identity that is not a member's. */
    val unknownIdentities: Map<ProcessName, Long> get() = formation.unknownIdentities

    /** Adds [processes] to those to which this replica introduces itself when it has to. */
    fun addContacts(processes: List<ProcessName>) = formation.addContacts(processes)

    /** What [MembershipReconciler] needs to know at a leader, or null when this replica does not lead. */
    fun memberView(now: ComparableTimeMark): MemberView? = leadership?.let {
        LeaderMemberView(state, formation.recentUnknownIdentities(now), it, isReady, now)
    }

    /** Messages that could not be decoded. */
    var undecodableMessages: Long = 0
        private set

    override fun receive(sender: ProcessName, message: Payload, now: ComparableTimeMark) {
        checkUsable()
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
        is Introduction -> formation.receive(sender, message)
        is IntroductionReply -> formation.receive(sender, message)
        is Founding -> formation.receive(message)
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
        checkUsable()
        formation.tick(now, leadership == null && timer.isIsolated(now))
        if (now - commitRememberedAt >= state.settings.heartbeatInterval) {
            commitRememberedAt = now
            state.rememberCommit()
        }
        val current = leadership
        if (current != null) {
            current.tick(now)
            if (current.isCutOff(now)) stepDown(now)
        } else if (state.isVoter && timer.isDue(now)) {
            leader = null
            if (campaign.start(now)) lead(now)
        }
    }

    override fun propose(command: Payload, now: ComparableTimeMark): ProposalResult {
        checkUsable()
        val current = leadership ?: return ProposalResult.NotLeader(leader)
        return accepted(current.append(EntryContent.Command(command)))
    }

    /**
     * Proposes [change]. Any refusal by a leader is answered with
     * [ProposalResult.MembershipChangePending]; [refusalOf] names the reason.
     */
    override fun changeMembership(
        change: MembershipChange,
        now: ComparableTimeMark,
    ): ProposalResult {
        checkUsable()
        val current = leadership ?: return ProposalResult.NotLeader(leader)
        if (refusalOf(change, now) != null) return ProposalResult.MembershipChangePending
        val next = state.membership.after(change)
        return accepted(current.append(EntryContent.MembershipEntry(next)))
    }

    /** Why [change] would be refused now, or null if it would be proposed. */
    fun refusalOf(change: MembershipChange, now: ComparableTimeMark): MembershipRefusal? {
        val current = leadership ?: return MembershipRefusal.NOT_LEADER
        return state.refusalOf(change, current, isReady, now)
    }

    override fun flush(now: ComparableTimeMark): List<ConsensusOutput> {
        checkUsable()
        try {
            state.persist()
            installSnapshot()
            leadership?.advanceCommit()
            applier.apply()
            leaveIfRemoved(now)
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
        if (!state.hasCluster || !state.isAddressed(request.cluster, request.receiver)) return
        val isGranted = !hearsLeader(now) && state.canVote(request)
        if (isGranted && !request.isPreVote) {
            if (request.term > term) follow(request.term, leader = null, now)
            state.update(state.hardState.copy(vote = request.candidate))
            timer.restart(now)
        }
        state.send(sender, state.answer(request, isGranted))
    }

    private fun hearsLeader(now: ComparableTimeMark): Boolean {
        val current = leadership ?: return timer.hearsLeader(now)
        val contact = current.majorityContact
        return contact != null && now - contact < state.settings.electionTimeout
    }

    private fun onVoteReply(sender: ProcessName, reply: VoteReply, now: ComparableTimeMark) {
        if (!reply.isGranted && reply.term > term) {
            if (state.membership.contains(sender, reply.identity)) follow(reply.term, null, now)
            return
        }
        if (campaign.count(sender, reply, now)) lead(now)
    }

    private fun lead(now: ComparableTimeMark) {
        leader = state.name
        leadership = Leadership(state, now)
    }

    private fun onHeartbeat(sender: ProcessName, message: Heartbeat, now: ComparableTimeMark) {
        if (!state.hasCluster) return
        if (message.tag != peerTag(state.cluster, state.identity, message.term)) return
        if (accepts(sender, message.term, now)) {
            state.commitThrough(minOf(message.commitIndex, state.log.lastIndex))
        }
        state.send(sender, HeartbeatReply(term, message.round, message.tag))
    }

    private fun onAppend(sender: ProcessName, message: AppendRequest, now: ComparableTimeMark) {
        if (!state.isAddressed(message.cluster, message.receiver)) return
        val isAccepted = accepts(sender, message.term, now) && state.matches(message)
        val index = if (isAccepted) state.take(message) else state.retryIndex(message)
        state.send(sender, state.answer(message, isAccepted, index))
    }

    private fun onSnapshotChunk(
        sender: ProcessName,
        chunk: SnapshotChunk,
        now: ComparableTimeMark,
    ) {
        if (!state.isAddressed(chunk.cluster, chunk.receiver)) return
        val received = when {
            !accepts(sender, chunk.term, now) -> 0
            chunk.index <= state.commitIndex -> chunk.totalBytes
            else -> receiver.take(chunk)
        }
        val reply = SnapshotReply(state.identity, term, chunk.round, chunk.index, received)
        state.send(sender, reply)
    }

    /** Takes [sender] as the leader of [term] unless that is over. */
    private fun accepts(sender: ProcessName, term: Long, now: ComparableTimeMark): Boolean {
        if (term < this.term) return false
        check(term > this.term || leadership == null) { "$sender also leads term $term" }
        follow(term, sender, now)
        timer.heardLeader(now)
        return true
    }

    private fun onReply(
        sender: ProcessName,
        term: Long,
        now: ComparableTimeMark,
        take: (Leadership) -> Unit,
    ) {
        when {
            term > this.term -> if (sender in state.membership.members) follow(term, null, now)
            term == this.term -> leadership?.let(take)
        }
    }

    private fun follow(term: Long, leader: ProcessName?, now: ComparableTimeMark) {
        if (term > this.term) {
            state.enterTerm(term)
            this.leader = null
        }
        if (leadership != null) stepDown(now)
        campaign.end()
        if (leader != null) this.leader = leader
    }

    /** Ends the leadership; a lease counted from its last majority contact includes this vote. */
    private fun stepDown(now: ComparableTimeMark) {
        leadership?.majorityContact?.let(timer::heardMajority)
        leadership = null
        leader = null
        timer.restart(now)
    }

    private fun leaveIfRemoved(now: ComparableTimeMark) {
        if (leadership == null || state.membership.contains(state.name, state.identity)) return
        if (state.log.membershipIndex <= state.commitIndex) stepDown(now)
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

    private fun checkUsable() {
        failure?.let { throw it }
    }

    companion object {
        /**
         * Opens a replica on what [storage] holds.
         *
         * @param random source of timeouts and of the identity of a new cluster, seeded differently
         * in each process
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
