package org.hibiscusproxy.daemon.controller

import kotlin.time.TimeSource
import org.hibiscusproxy.consensus.Consensus
import org.hibiscusproxy.control.ClaimAttempt
import org.hibiscusproxy.control.Claimant
import org.hibiscusproxy.control.CompleteClaim
import org.hibiscusproxy.control.ControlCommand
import org.hibiscusproxy.control.ControlResult
import org.hibiscusproxy.control.FleetInstant
import org.hibiscusproxy.control.RecordCrash
import org.hibiscusproxy.control.ReleaseClaim
import org.hibiscusproxy.protocol.ClaimAcknowledgement
import org.hibiscusproxy.protocol.ClaimAnswer
import org.hibiscusproxy.protocol.ClaimCompletion
import org.hibiscusproxy.protocol.ClaimOutcome
import org.hibiscusproxy.protocol.ClaimRelease
import org.hibiscusproxy.protocol.ClaimRequest
import org.hibiscusproxy.protocol.ControlRefusal
import org.hibiscusproxy.protocol.CrashReport

/** Proposes claims and crash reports to the log. Used by the worker only. */
internal class ClaimService(
    private val log: Consensus,
    private val leadership: Leadership,
    private val proposals: Proposals,
    private val time: TimeSource.WithComparableMarks,
) {
    fun claim(session: PeerSession, request: ClaimRequest) {
        val remote = session.remote
        val claimant = Claimant(remote.process, remote.incarnation)
        val build = { at: FleetInstant ->
            ClaimAttempt(
                request.key,
                request.content,
                request.attempt,
                claimant,
                request.remainingMilliseconds,
                at,
            )
        }
        propose(build) { result ->
            val outcome = (result as? ControlResult.Claim)?.outcome
            session.send(ClaimAnswer(request.number, outcome ?: notLeader()))
        }
    }

    fun release(session: PeerSession, message: ClaimRelease) {
        val build = { at: FleetInstant -> ReleaseClaim(message.key, message.attempt, at) }
        propose(build) { session.send(acknowledgement(message.number, it)) }
    }

    fun complete(session: PeerSession, message: ClaimCompletion) {
        val build = { at: FleetInstant ->
            CompleteClaim(message.key, message.attempt, message.answer, at)
        }
        propose(build) { session.send(acknowledgement(message.number, it)) }
    }

    /** Records a crash. Returns false if this replica is not the leader. */
    fun recordCrash(report: CrashReport): Boolean {
        val leader = leadership.active() ?: return false
        val at = leader.fleetTime(time.markNow())
        proposals.propose(RecordCrash(report.target, report.fingerprints, at)) { }
        return true
    }

    /** Calls [onResult] with null if this replica is not the leader or loses leadership. */
    private fun propose(
        build: (FleetInstant) -> ControlCommand,
        onResult: (ControlResult?) -> Unit,
    ) {
        val leader = leadership.active()
        if (leader == null) {
            onResult(null)
            return
        }
        proposals.propose(build(leader.fleetTime(time.markNow()))) { outcome ->
            onResult((outcome as? ProposalOutcome.Applied)?.result)
        }
    }

    private fun acknowledgement(number: Long, result: ControlResult?): ClaimAcknowledgement {
        val acknowledged = result as? ControlResult.ClaimAcknowledged
        if (acknowledged != null) return ClaimAcknowledgement(number, acknowledged.accepted)
        return ClaimAcknowledgement(number, false, ControlRefusal.NOT_LEADER, log.leader)
    }

    private fun notLeader() = ClaimOutcome.Refused(ControlRefusal.NOT_LEADER, log.leader)
}
