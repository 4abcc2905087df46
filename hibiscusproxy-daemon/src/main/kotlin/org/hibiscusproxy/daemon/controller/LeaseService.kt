package org.hibiscusproxy.daemon.controller

import kotlin.time.TimeSource
import org.hibiscusproxy.consensus.Consensus
import org.hibiscusproxy.control.AllocateFencingNumber
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.control.LeaseDecision
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.ControlRefusal
import org.hibiscusproxy.protocol.LeaseAcknowledgement
import org.hibiscusproxy.protocol.LeaseRefusal
import org.hibiscusproxy.protocol.LeaseRenewNow
import org.hibiscusproxy.protocol.LeaseRequest

/** Grants leases to sidecars. Used by the worker only. */
internal class LeaseService(
    private val log: Consensus,
    private val state: ControlState,
    private val leadership: Leadership,
    private val proposals: Proposals,
    private val time: TimeSource.WithComparableMarks,
) {
    private val holders = LinkedHashSet<PeerSession>()

    /** Number of refused lease requests. */
    var refusals: Long = 0
        private set

    fun request(session: PeerSession, request: LeaseRequest) {
        if (session.remote.target != request.target) {
            refuse(session, request, ControlRefusal.UNKNOWN_TARGET)
            return
        }
        decide(session, request, mayAllocate = true)
    }

    fun acknowledge(session: PeerSession, message: LeaseAcknowledgement) {
        if (session.remote.target != message.target) return
        val granter = leadership.active()?.granter ?: return
        granter.acknowledge(message.target, message.incarnation, message.version, time.markNow())
    }

    fun disconnected(session: PeerSession) {
        holders.remove(session)
    }

    /** Returns the connection of the sidecar that holds the current fencing number of [target]. */
    fun currentHolder(target: TargetName): PeerSession? {
        val current = state.presentIncarnation(target) ?: return null
        return holders.lastOrNull {
            it.remote.target == target && it.remote.incarnation == current
        }
    }

    /** Asks all holders to renew their leases, because [version] has been applied. */
    fun announce(version: Long) {
        if (leadership.active() == null) return
        holders.forEach { it.send(LeaseRenewNow(version)) }
    }

    private fun decide(session: PeerSession, request: LeaseRequest, mayAllocate: Boolean) {
        val leader = leadership.active()
        if (leader == null) {
            refuse(session, request, ControlRefusal.NOT_LEADER)
            return
        }
        // Must be read after the request arrived: the correctness of the granter depends on it.
        val now = time.markNow()
        val decision = leader.granter.request(request, state, log.majorityContact, now)
        when (decision) {
            is LeaseDecision.Granted -> {
                holders += session
                session.send(decision.grant)
            }

            is LeaseDecision.Refused -> refuse(session, request, decision.reason)

            is LeaseDecision.NeedsFencingNumber ->
                if (mayAllocate) {
                    allocate(session, request, leader)
                } else {
                    refuse(session, request, ControlRefusal.OTHER_INCARNATION)
                }
        }
    }

    private fun allocate(session: PeerSession, request: LeaseRequest, leader: LeaderTerm) {
        val at = leader.fleetTime(time.markNow())
        val command = AllocateFencingNumber(request.target, request.incarnation, at)
        proposals.propose(command) { decide(session, request, mayAllocate = false) }
    }

    private fun refuse(session: PeerSession, request: LeaseRequest, reason: ControlRefusal) {
        refusals += 1
        session.send(LeaseRefusal(request.number, reason, log.leader))
    }
}
