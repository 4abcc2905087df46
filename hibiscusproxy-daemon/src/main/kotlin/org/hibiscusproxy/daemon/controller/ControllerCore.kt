package org.hibiscusproxy.daemon.controller

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.consensus.ConsensusOutput
import org.hibiscusproxy.consensus.ConsensusRole
import org.hibiscusproxy.consensus.LeadershipLoss
import org.hibiscusproxy.consensus.PeerContact
import org.hibiscusproxy.consensus.ReplicatedLog
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.control.Expire
import org.hibiscusproxy.control.LeaseSettings
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.ClaimCompletion
import org.hibiscusproxy.protocol.ClaimRelease
import org.hibiscusproxy.protocol.ClaimRequest
import org.hibiscusproxy.protocol.ConfigurationRequest
import org.hibiscusproxy.protocol.ConsensusEnvelope
import org.hibiscusproxy.protocol.ControlMessage
import org.hibiscusproxy.protocol.CrashEvidence
import org.hibiscusproxy.protocol.CrashReport
import org.hibiscusproxy.protocol.EngineOrderResult
import org.hibiscusproxy.protocol.EntryLoad
import org.hibiscusproxy.protocol.LeaseAcknowledgement
import org.hibiscusproxy.protocol.LeaseRequest
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.RoutingRequest
import org.hibiscusproxy.protocol.StreamQuery
import org.hibiscusproxy.protocol.StreamsBegun
import org.hibiscusproxy.timeline.EventRecorder
import org.hibiscusproxy.timeline.FleetEvent
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Processes a controller's inputs. Owns one replica of the log, the control state and, while it is
 * the leader, the leases. Used by the worker only: after any number of calls to [handle], [advance]
 * makes their effects durable with a single flush and sends the resulting messages.
 */
internal class ControllerCore(
    private val name: ProcessName,
    private val log: ReplicatedLog,
    private val state: ControlState,
    settings: LeaseSettings,
    private val time: TimeSource.WithComparableMarks,
    private val recorder: EventRecorder,
    private val membership: ControllerMembership,
    private val sendToController: (ProcessName, ControlMessage) -> Unit,
    rolloutSettings: RolloutSettings = RolloutSettings(),
) {
    private val proposals = Proposals(log, time)
    private val leadership = Leadership(log, state, settings, time)
    private val leases = LeaseService(log, state, leadership, proposals, time)
    private val claims = ClaimService(log, leadership, proposals, time)
    private val subscriptions = Subscriptions(state, time)
    private val platform = PlatformService(state, leadership, proposals, time)
    private val orders = OrderService(state, leases, time)
    private val operators = OperatorService(
        name,
        log,
        state,
        leadership,
        proposals,
        subscriptions,
        orders,
        recorder,
        time,
    )
    private val routing = RoutingService(log, state, leadership, proposals, time)
    private val entries: EntryFeed = EntryFeed(
        state,
        time,
        { leadership.active()?.let { log.majorityContact } },
        { log.knownMembers },
        { crashes.initialMessages() },
    )
    private val streams = StreamService(log, state, leadership, proposals, time)
    private val crashes = CrashService(state, leadership, proposals, time, entries::broadcast)
    private val rollouts = RolloutService(
        state,
        leadership,
        proposals,
        entries,
        time,
        recorder,
        rolloutSettings,
    )
    private var announcedVersion = 0L
    private var isExpiryProposed = false
    private var prunedAt = time.markNow()
    private val leaderWatch = LeaderWatch(log, time)
    private val toleranceWatch = ToleranceWatch(membership.toleratedLosses, time)

    /** Time for which no leader has been known. Readable from any thread. */
    val leaderlessTime: Duration get() = leaderWatch.leaderlessTime

    /** Voters that are missing to bear the tolerated losses. Readable from any thread. */
    val missingVoters: Int get() = toleranceWatch.missingVoters

    /** Number of running rollouts. Readable from any thread. */
    val runningRollouts: Int get() = rollouts.runningCount

    /** Rollouts that completed while this replica led. Readable from any thread. */
    val completedRollouts: Long get() = rollouts.completedCount

    /** Rollouts that were rolled back while this replica led. Readable from any thread. */
    val rolledBackRollouts: Long get() = rollouts.rolledBackCount

    /** Whether this replica was the leader after the last [advance]. Readable from any thread. */
    @Volatile
    var isLeading = false
        private set

    /** Processes [input]. Its effects become durable with the next [advance]. */
    fun handle(input: ControllerInput) {
        when (input) {
            is ControllerInput.Received -> receive(input.session, input.message)

            is ControllerInput.Disconnected -> {
                leases.disconnected(input.session)
                subscriptions.disconnected(input.session)
                entries.disconnected(input.session)
                streams.disconnected(input.session)
            }

            is ControllerInput.Platform -> platform.apply(input.list)

            is ControllerInput.Targets -> {
                streams.updateTargets(input.targets)
                entries.updateTargets(input.targets, input.readAt)
                rollouts.updateTargets(input.targets)
            }

            is ControllerInput.Routing -> routing.handle(input.call, input.reply)

            is ControllerInput.Contacts -> log.addContacts(input.controllers)

            is ControllerInput.Tick -> Unit

            is ControllerInput.Operator -> operators.handle(input.request, input.reply)
        }
    }

    /** Handles elapsed time, flushes the log and sends the resulting messages. */
    fun advance() {
        log.tick(time.markNow())
        proposeExpiry()
        reconcileMembers()
        log.flush(time.markNow()).forEach(::processOutput)
        leadership.observeClock()
        announceChanges()
        operators.advance()
        routing.advance()
        crashes.advance()
        streams.advance()
        rollouts.advance()
        entries.advance()
        orders.advance()
        isLeading = leadership.active() != null
        if (!log.isObserver) toleranceWatch.advance(log.membership)
        val now = time.markNow()
        prune(now)
        closeSubscribersWithoutLeader(now)
    }

    private fun receive(session: PeerSession, message: PeerMessage) {
        when (message) {
            is ConsensusEnvelope -> receiveConsensus(session.remote.process, message)
            is LeaseRequest -> leases.request(session, message)
            is LeaseAcknowledgement -> leases.acknowledge(session, message)
            is ConfigurationRequest -> subscriptions.subscribe(session, message)
            is ClaimRequest -> claims.claim(session, message)
            is ClaimRelease -> claims.release(session, message)
            is ClaimCompletion -> claims.complete(session, message)
            is CrashReport -> recordCrash(message)
            is RoutingRequest -> entries.subscribe(session, message)
            is EntryLoad -> entries.report(session, message)
            is CrashEvidence -> crashes.receive(message)
            is StreamsBegun -> streams.receive(message)
            is StreamQuery -> streams.query(session, message)
            is EngineOrderResult -> orders.receiveResult(session, message)

            else -> {
                val type = message::class.simpleName
                LOG.warn("controller: ignored unexpected {} from {}", type, session.remote.process)
            }
        }
    }

    private fun receiveConsensus(sender: ProcessName, envelope: ConsensusEnvelope) {
        if (membership.mayJoin(sender)) {
            leaderWatch.recordMessage(sender)
            log.receive(sender, envelope.content, time.markNow())
        } else {
            LOG.warn("controller: ignored a log message from {}, which is not a controller", sender)
        }
    }

    private fun reconcileMembers() {
        val reconciler = membership.reconciler ?: return
        val now = time.markNow()
        val view = log.memberView(now) ?: return
        val change = reconciler.next(view, now) ?: return
        LOG.info("controller: {} in a cluster of {} voters", change, view.membership.voters.size)
        log.changeMembership(change, now)
    }

    private fun recordCrash(report: CrashReport) {
        if (claims.recordCrash(report)) return
        val leader = log.leader ?: return
        if (leader != name) sendToController(leader, report)
    }

    private fun processOutput(output: ConsensusOutput) {
        when (output) {
            is ConsensusOutput.Send ->
                sendToController(output.receiver, ConsensusEnvelope(output.message))

            is ConsensusOutput.Applied -> proposals.applied(output)

            is ConsensusOutput.LeadershipChanged -> leadershipChanged(output)

            is ConsensusOutput.LeadershipLost -> logLoss(output.cause)

            is ConsensusOutput.SnapshotInstalled ->
                LOG.info("controller: installed a snapshot up to index {}", output.index)
        }
    }

    private fun leadershipChanged(output: ConsensusOutput.LeadershipChanged) {
        val term = output.term
        LOG.info("controller: {} in term {}, leader {}", output.role, term, output.leader)
        leadership.roleChanged(output.role, term)
        val isLeader = output.role == ConsensusRole.LEADER
        proposals.leadershipChanged(term.takeIf { isLeader })
        isExpiryProposed = false
        operators.leadershipChanged()
        orders.leadershipChanged()
        if (isLeader) {
            recorder.record(FleetEvent.LeaderElected(name, term))
        }
    }

    private fun logLoss(cause: LeadershipLoss): Unit = when (cause) {
        is LeadershipLoss.MajorityLost -> LOG.warn(
            "controller: stopped leading, a majority is silent: {}",
            cause.peers.joinToString("; ") { it.describe() },
        )

        is LeadershipLoss.TermEnded ->
            LOG.info("controller: stopped leading, term {} has begun", cause.term)

        is LeadershipLoss.Removed ->
            LOG.info("controller: stopped leading, this controller was removed")
    }

    private fun PeerContact.describe(): String {
        val silent = silence?.let { "silent for ${it.inWholeMilliseconds} ms" } ?: "never answered"
        val request = outstanding?.let { "request open for ${it.inWholeMilliseconds} ms" }
        return "$process $silent, ${request ?: "no open request"}, " +
            "$resentRequests resent with $resentBytes bytes"
    }

    private fun announceChanges() {
        val version = state.fleet.version
        if (version != announcedVersion) {
            announcedVersion = version
            leases.announce(version)
            subscriptions.pushState()
        }
        val leader = leadership.active()
        subscriptions.pushCrashes(leader?.fleetTime(time.markNow()) ?: state.clock)
    }

    /**
     * Proposes an expiry once anything has expired, and at least once per [CLOCK_INTERVAL] while
     * an expiry lies ahead, so that a new leader continues from a nearly current fleet clock. While
     * a rollout is running this happens more often, because its deadline may be seconds away.
     */
    private fun proposeExpiry() {
        val leader = leadership.active() ?: return
        val next = state.nextExpiry
        if (next == null && !rollouts.isRunning) return
        val now = leader.fleetTime(time.markNow())
        val interval = if (rollouts.isRunning) ROLLOUT_CLOCK_INTERVAL else CLOCK_INTERVAL
        val isDue = next != null && now >= next || now >= state.clock + interval
        if (isExpiryProposed || !isDue) return
        isExpiryProposed = true
        proposals.propose(Expire(now)) { isExpiryProposed = false }
    }

    private fun closeSubscribersWithoutLeader(now: ComparableTimeMark) {
        if (!log.isObserver) leaderWatch.advance()
        if (leaderWatch.leaderlessTime <= LEADERLESS_LIMIT) return
        subscriptions.closeOlderThan(now - LEADERLESS_LIMIT)
    }

    private fun prune(now: ComparableTimeMark) {
        if (now - prunedAt < PRUNE_INTERVAL) return
        prunedAt = now
        leadership.active()?.granter?.prune(now)
    }

    private companion object {
        val CLOCK_INTERVAL = 30.seconds

        /** A quarter of the time that a rollout of 12 s has left after its latest completion. */
        val ROLLOUT_CLOCK_INTERVAL = 250.milliseconds
        val PRUNE_INTERVAL = 1.seconds

        /** Longer than an election, so that a change of leader closes no connections. */
        val LEADERLESS_LIMIT = 3.seconds
        val LOG: Logger = LoggerFactory.getLogger(ControllerCore::class.java)
    }
}
