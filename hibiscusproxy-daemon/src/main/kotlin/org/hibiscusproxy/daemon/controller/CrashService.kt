package org.hibiscusproxy.daemon.controller

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.hibiscusproxy.control.ActiveRefusal
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.control.FleetInstant
import org.hibiscusproxy.control.RefuseRequests
import org.hibiscusproxy.forwarding.CrashAnalysis
import org.hibiscusproxy.forwarding.ProvisionalRefusals
import org.hibiscusproxy.protocol.ControlMessage
import org.hibiscusproxy.protocol.CrashEvidence
import org.hibiscusproxy.protocol.CrashSuspects
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Refusal
import org.hibiscusproxy.protocol.RefusalList
import org.hibiscusproxy.protocol.Suspect
import org.slf4j.LoggerFactory

/**
 * Finds requests that crash targets from the evidence of all forwarders, and lets all forwarders
 * refuse them. Every controller collects the evidence, so that a new leader has it; only the leader
 * decides. Refusals are part of the replicated state and survive the loss of all processes, except
 * for the [ProvisionalRefusals] of a leader, which end after seconds. Used by the worker only.
 *
 * @param broadcast sends a message to all forwarders that are connected to this controller
 */
internal class CrashService(
    private val state: ControlState,
    private val leadership: Leadership,
    private val proposals: Proposals,
    private val time: TimeSource.WithComparableMarks,
    private val broadcast: (ControlMessage) -> Unit,
) {
    private val analysis = CrashAnalysis(time)
    private var provisional = ProvisionalRefusals(time)
    private var refusals: List<ActiveRefusal> = emptyList()
    private var sentSuspects: Set<Fingerprint> = emptySet()
    private var checkedAt: ComparableTimeMark = time.markNow()
    private var isProposed = false
    private var loggedSuspects: Map<Fingerprint, Int> = emptyMap()

    fun receive(evidence: CrashEvidence) {
        evidence.crashes.forEach { crash ->
            analysis.recordCrash(crash.target, crash.ageMilliseconds.milliseconds, crash.suspects)
        }
        evidence.survivedAnswers.forEach { answer ->
            val age = answer.ageMilliseconds.milliseconds
            analysis.recordSurvivedAnswer(answer.fingerprint, age)
        }
    }

    /** Messages for a forwarder that has just connected. */
    fun initialMessages(): List<ControlMessage> = listOfNotNull(
        refusalList().takeIf { it.refusals.isNotEmpty() },
        suspectList().takeIf { leadership.active() != null && sentSuspects.isNotEmpty() },
    )

    /** Sends changes to the forwarders and, while this controller leads, refuses found causes. */
    fun advance() {
        val leader = leadership.active()
        updateRefusals(leader?.fleetTime(time.markNow()) ?: state.clock)
        if (checkedAt.elapsedNow() < CHECK_INTERVAL) return
        checkedAt = time.markNow()
        if (leader == null) {
            sentSuspects = emptySet()
            provisional = ProvisionalRefusals(time)
            return
        }
        refuseCauses(leader.fleetTime(time.markNow()))
        refuseProvisionally()
        sendSuspects()
    }

    private fun updateRefusals(now: FleetInstant) {
        val known = causes()
        refusals = state.refusals(now)
        if (causes() == known) return
        LOG.info("controller: refused requests have the fingerprints {}", causes())
        broadcast(refusalList())
    }

    private fun causes(): Set<Set<Fingerprint>> = refusals.mapTo(HashSet()) { it.fingerprints }

    private fun refuseCauses(now: FleetInstant) {
        analysis.explain(causes())
        if (isProposed) return
        val causes = analysis.causes(state.knownCrashCauses) + narrowedCauses()
        if (causes.isEmpty()) return logUndecided()
        LOG.warn("controller: targets crash on {}, {} crashes open", causes, analysis.unexplained)
        isProposed = true
        proposals.propose(RefuseRequests(causes.toList(), now)) { isProposed = false }
    }

    private fun refuseProvisionally() {
        val isLifted = provisional.lift(analysis::hasSurvivedAnswer)
        val isAdded = !isProposed && provisional.update(analysis.undecidedCauses(causes()))
        if (isAdded) {
            LOG.info("controller: refused until they can be told apart: {}", provisional.active)
        }
        if (isLifted || isAdded) broadcast(refusalList())
    }

    private fun logUndecided() {
        val suspects = analysis.leadingSuspects()
        if (suspects == loggedSuspects) return
        loggedSuspects = suspects
        if (suspects.isEmpty()) return
        LOG.info(
            "controller: no cause found of {} crashes, suspects by crashes {}",
            analysis.unexplained,
            suspects,
        )
    }

    /** Refused causes without those fingerprints that were answered well since. */
    private fun narrowedCauses(): List<Set<Fingerprint>> = refusals
        .filter { it.fingerprints.size > 1 }
        .mapNotNull { refusal ->
            val (sound, rest) = refusal.fingerprints
                .partition { analysis.hasSurvivedAnswer(it, refusal.age) }
            rest.toSet().takeIf { sound.isNotEmpty() && rest.isNotEmpty() }
        }

    private fun sendSuspects() {
        val suspects = suspects()
        if (suspects.keys == sentSuspects) return
        sentSuspects = suspects.keys
        broadcast(suspectList())
    }

    /** Suspects with the time since which answers to them tell something. */
    private fun suspects(): Map<Fingerprint, Duration> {
        val refused = refusals.filter { it.fingerprints.size > 1 }
            .flatMap { refusal -> refusal.fingerprints.map { it to refusal.age } }
        return refused.toMap() + provisional.suspects + analysis.suspects()
    }

    private fun suspectList() = CrashSuspects(
        suspects().map { (fingerprint, age) -> Suspect(fingerprint, age.inWholeMilliseconds) },
    )

    private fun refusalList(): RefusalList {
        val known = causes()
        val found = refusals.map { Refusal(it.fingerprints, it.remaining.inWholeMilliseconds) }
        return RefusalList(provisional.announced.filter { it.fingerprints !in known } + found)
    }

    private companion object {
        val CHECK_INTERVAL = 100.milliseconds
        val LOG = LoggerFactory.getLogger(CrashService::class.java)
    }
}
