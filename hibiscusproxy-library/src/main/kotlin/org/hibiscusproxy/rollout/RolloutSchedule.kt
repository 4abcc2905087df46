package org.hibiscusproxy.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.control.FleetInstant

/** A change of the phase of a rollout. */
data class PhaseChange(val phase: RolloutPhase, val reason: String)

/**
 * What the leader knows about a rollout.
 *
 * @property now the fleet time
 * @property leadingFor time for which the controller has led, within which forwarders report
 * @property phaseFor time for which the leader has seen the current phase
 * @property listedFor time since a target of the version was first listed; null if none was yet
 * @property hasMoved whether no forwarder sends requests to other versions or waits for their
 * answers
 */
data class RolloutProgress(
    val now: FleetInstant,
    val leadingFor: Duration,
    val phaseFor: Duration,
    val listedFor: Duration?,
    val hasMoved: Boolean,
    val verdict: RolloutVerdict,
)

/**
 * Decides when a rollout enters its next phase. Times are fractions of the duration of the rollout,
 * so that a rollout of any duration ends before its deadline. Pure.
 */
object RolloutSchedule {
    /** End of the trial, which leaves a third of the time to move the requests. */
    private const val TRIAL_END = 0.62

    /** From here on the trial ends although a new leader may lack evidence: the deadline is near. */
    private const val LATEST_TRIAL_END = 0.78

    private const val EXPANDING_SHARE = 0.08

    /**
     * Until here half of the requests go on to the version if its answers are too few for a verdict.
     * That many answers are less than what a bad version may get, and once all requests have moved
     * there is nothing to compare with.
     */
    private const val LATEST_DECISION = 0.8
    private const val LATEST_EXPANDING_END = 0.86

    /** Leaves time to store the end of the rollout and to read it before the deadline. */
    private const val LATEST_COMPLETION = 0.92

    /** Several reports of each forwarder under the larger load. */
    private val MINIMUM_EXPANDING = 700.milliseconds

    /** Two reports of each forwarder, so that the verdict includes answers under the full load. */
    private val MINIMUM_MOVING = 500.milliseconds

    /** Forwarders report to a new leader within this time. */
    private val EVIDENCE_WAIT = 1.seconds

    /** Targets that are listed late are tried for this time, if the deadline allows. */
    private val MINIMUM_TRIAL = 1_500.milliseconds

    /** Returns the next phase of [rollout], or null if it stays in its phase. */
    fun next(rollout: Rollout, progress: RolloutProgress): PhaseChange? {
        val verdict = progress.verdict
        if (verdict is RolloutVerdict.Bad) {
            return PhaseChange(RolloutPhase.ROLLED_BACK, verdict.reason)
        }
        val elapsed = progress.now.milliseconds - rollout.orderedAt.milliseconds
        val part = elapsed.toDouble() / rollout.durationMilliseconds
        val isInformed = progress.leadingFor >= EVIDENCE_WAIT
        return when (rollout.phase) {
            RolloutPhase.TRIAL -> trial(progress, part, isInformed)
            RolloutPhase.EXPANDING -> expanding(rollout, progress, part, isInformed)
            RolloutPhase.MOVING -> moving(progress, part, isInformed)
            RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK -> null
        }
    }

    private fun trial(progress: RolloutProgress, part: Double, isInformed: Boolean): PhaseChange? {
        val listedFor = progress.listedFor
        val isTried = isInformed && listedFor != null && listedFor >= MINIMUM_TRIAL
        return when {
            part >= 1 && listedFor == null ->
                PhaseChange(RolloutPhase.ROLLED_BACK, "no target of the version was listed")

            part >= 1 ->
                PhaseChange(RolloutPhase.ROLLED_BACK, "the deadline passed during the trial")

            listedFor == null || part < TRIAL_END -> null

            isTried || part >= LATEST_TRIAL_END ->
                PhaseChange(RolloutPhase.EXPANDING, "the trial showed no fault")

            else -> null
        }
    }

    private fun expanding(
        rollout: Rollout,
        progress: RolloutProgress,
        part: Double,
        isInformed: Boolean,
    ): PhaseChange? {
        val minimum = (rollout.durationMilliseconds * EXPANDING_SHARE).toLong().milliseconds
        val isDecided = progress.verdict == RolloutVerdict.Good || part >= LATEST_DECISION
        val isTried = progress.phaseFor >= maxOf(minimum, MINIMUM_EXPANDING) && isDecided
        return when {
            part >= 1 ->
                PhaseChange(RolloutPhase.ROLLED_BACK, "the deadline passed before requests moved")

            isTried && isInformed || part >= LATEST_EXPANDING_END ->
                PhaseChange(RolloutPhase.MOVING, "half of the requests showed no fault")

            else -> null
        }
    }

    private fun moving(progress: RolloutProgress, part: Double, isInformed: Boolean): PhaseChange? {
        val isTried = progress.phaseFor >= MINIMUM_MOVING && isInformed
        return when {
            part >= LATEST_COMPLETION ->
                PhaseChange(RolloutPhase.COMPLETED, "the deadline is near")

            progress.hasMoved && isTried ->
                PhaseChange(RolloutPhase.COMPLETED, "all requests have moved")

            else -> null
        }
    }
}
