package org.hibiscusproxy.daemon.controller

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.hibiscusproxy.control.AdvanceRollout
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.ServiceVersion
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.rollout.PhaseChange
import org.hibiscusproxy.rollout.Rollout
import org.hibiscusproxy.rollout.RolloutEvidence
import org.hibiscusproxy.rollout.RolloutPhase
import org.hibiscusproxy.rollout.RolloutProgress
import org.hibiscusproxy.rollout.RolloutSchedule
import org.hibiscusproxy.timeline.EventRecorder
import org.hibiscusproxy.timeline.FleetEvent
import org.slf4j.LoggerFactory

/**
 * Moves running rollouts through their phases while this controller leads. Phases are part of the
 * replicated routing; the evidence is only in memory, since forwarders send all counts again to a
 * new leader. Every controller follows the list of targets, so that a new leader knows since when
 * the version has targets. Used by the worker only.
 */
internal class RolloutService(
    private val state: ControlState,
    private val leadership: Leadership,
    private val proposals: Proposals,
    private val entries: EntryFeed,
    private val time: TimeSource.WithComparableMarks,
    private val recorder: EventRecorder,
    private val settings: RolloutSettings,
) {
    private val analysis = settings.toAnalysis()
    private val followed = HashMap<Long, Followed>()
    private var listed: List<DiscoveredTarget> = emptyList()

    /** Versions of targets, also of those that have left the list during a rollout. */
    private val versions = HashMap<TargetName, ServiceVersion>()
    private val proposed = HashSet<Long>()
    private var leadingSince: ComparableTimeMark? = null
    private var checkedAt = time.markNow()

    /** Number of running rollouts. Readable from any thread. */
    @Volatile
    var runningCount = 0
        private set

    /** Number of rollouts that completed while this controller led. Readable from any thread. */
    @Volatile
    var completedCount = 0L
        private set

    /** Number of rollouts rolled back while this controller led. Readable from any thread. */
    @Volatile
    var rolledBackCount = 0L
        private set

    /** Whether a rollout is running. */
    val isRunning: Boolean get() = state.routing.rollouts.any { it.phase.isRunning }

    /** Stores [targets], the platform's list. */
    fun updateTargets(targets: List<DiscoveredTarget>) {
        listed = targets
        if (!isRunning) versions.clear()
        targets.associateTo(versions) { it.name to ServiceVersion(it.service, it.version) }
        follow()
    }

    /** Follows changes of rollouts and, while this controller leads, proposes the next phases. */
    fun advance() {
        val leader = leadership.active()
        if (leader == null) leadingSince = null
        follow()
        if (leader == null) return
        val since = leadingSince ?: time.markNow().also { leadingSince = it }
        if (checkedAt.elapsedNow() < CHECK_INTERVAL) return
        checkedAt = time.markNow()
        state.routing.rollouts.filter { it.phase.isRunning && it.number !in proposed }
            .forEach { check(it, leader, since) }
    }

    private fun follow() {
        val rollouts = state.routing.rollouts
        runningCount = rollouts.count { it.phase.isRunning }
        for (rollout in rollouts) {
            val before = followed[rollout.number]
            if (before == null || before.phase != rollout.phase) {
                followed[rollout.number] = Followed(rollout.phase, before?.listedSince)
                if (leadingSince != null) announce(rollout)
            }
            val present = followed.getValue(rollout.number)
            if (present.listedSince == null && listed.any { rollout.isFor(it) }) {
                present.listedSince = time.markNow()
            }
        }
        if (followed.size >
            rollouts.size
        ) {
            followed.keys.retainAll(rollouts.map { it.number }.toSet())
        }
        entries.evidence.retain(rollouts.filter { it.phase.isRunning }.map { it.number }.toSet())
    }

    private fun Rollout.isFor(target: DiscoveredTarget): Boolean =
        target.service == service && target.version == version

    private fun announce(rollout: Rollout) {
        if (rollout.phase == RolloutPhase.COMPLETED) completedCount += 1
        if (rollout.phase == RolloutPhase.ROLLED_BACK) rolledBackCount += 1
        LOG.info(
            "controller: rollout {} of {} to {} is {}: {}",
            rollout.number,
            rollout.service,
            rollout.version,
            rollout.phase.label,
            rollout.reason,
        )
        recorder.record(
            FleetEvent.RolloutPhaseEntered(
                rollout.service,
                rollout.version,
                rollout.number,
                rollout.phase,
                rollout.reason,
            ),
        )
    }

    private fun check(rollout: Rollout, leader: LeaderTerm, since: ComparableTimeMark) {
        val present = followed.getValue(rollout.number)
        val evidence = entries.evidence.evidence(rollout.number)
        if (rollout.phase == RolloutPhase.TRIAL) checkExposure(rollout, evidence, present)
        val progress = RolloutProgress(
            now = leader.fleetTime(time.markNow()),
            leadingFor = since.elapsedNow(),
            phaseFor = maxOf(present.since, since).elapsedNow(),
            listedFor = present.listedSince?.elapsedNow(),
            hasMoved = rollout.phase == RolloutPhase.MOVING && hasMoved(rollout, present),
            verdict = analysis.verdict(evidence, rollout.phase == RolloutPhase.TRIAL),
        )
        RolloutSchedule.next(rollout, progress)?.let { propose(rollout, it, progress, evidence) }
    }

    private fun hasMoved(rollout: Rollout, present: Followed): Boolean =
        entries.hasMoved(present.revision) { target ->
            val version = versions[target]
            version?.service == rollout.service && version.version != rollout.version
        }

    private fun checkExposure(rollout: Rollout, evidence: RolloutEvidence, present: Followed) {
        val limit = settings.exposureShare * evidence.total + settings.exposureSlack
        if (present.isExposureLogged || evidence.trialTotal <= limit) return
        present.isExposureLogged = true
        LOG.warn(
            "controller: rollout {} of {}: {} of {} answers are of the version under trial",
            rollout.number,
            rollout.service,
            evidence.trialTotal,
            evidence.total,
        )
    }

    private fun propose(
        rollout: Rollout,
        change: PhaseChange,
        progress: RolloutProgress,
        evidence: RolloutEvidence,
    ) {
        LOG.info(
            "controller: rollout {} of {} goes to {} at {} of {} ms, {} of {} answers and {} " +
                "failures are of {}",
            rollout.number,
            rollout.service,
            change.phase.label,
            progress.now.milliseconds - rollout.orderedAt.milliseconds,
            rollout.durationMilliseconds,
            evidence.trialTotal,
            evidence.total,
            evidence.trialFailures,
            rollout.version,
        )
        val command = AdvanceRollout(
            rollout.service,
            rollout.number,
            change.phase,
            change.reason,
            progress.now,
        )
        proposed += rollout.number
        proposals.propose(command) { proposed -= rollout.number }
    }

    /** A rollout as this controller has seen it. */
    private inner class Followed(val phase: RolloutPhase, var listedSince: ComparableTimeMark?) {
        val since = time.markNow()

        /** Revision at which this controller saw [phase]; later revisions contain it as well. */
        val revision = state.routing.revision
        var isExposureLogged = false
    }

    private companion object {
        /** Shorter than the interval of reports, so that each is judged soon. */
        val CHECK_INTERVAL = 100.milliseconds
        val LOG = LoggerFactory.getLogger(RolloutService::class.java)
    }
}
