package org.hibiscusproxy.daemon.forwarding

import io.micrometer.core.instrument.MeterRegistry
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.forwarding.ExposureDecision
import org.hibiscusproxy.rollout.Rollout

/**
 * Counts the requests that versions under trial get and those held back from them. They are logged
 * in one line for each rollout at most every [INTERVAL], and only if there were any. Logs each
 * change of a rollout and the loss of all controllers during one. Used on the event loop only.
 */
internal class RolloutLog(
    private val registry: MeterRegistry,
    private val log: RequestLog,
    private val time: TimeSource.WithComparableMarks,
) {
    private var known: Set<Rollout> = emptySet()
    private val counts = LinkedHashMap<Rollout, RolloutCounts>()
    private var writtenAt: ComparableTimeMark = time.markNow()
    private var isContactLost = false

    /** Records one request for the service of [rollout]. */
    fun record(rollout: Rollout, decision: ExposureDecision) {
        val text = when (decision) {
            ExposureDecision.SENT -> "sent"
            ExposureDecision.HELD_BACK -> "held-back"
        }
        registry.counter(
            "forwarder.rollout.requests",
            "service",
            rollout.service.value,
            "decision",
            text,
        ).increment()
        val sum = counts.getOrPut(rollout) { RolloutCounts() }
        when (decision) {
            ExposureDecision.SENT -> sum.sent += 1
            ExposureDecision.HELD_BACK -> sum.heldBack += 1
        }
    }

    /** Logs those of [rollouts] that are new or have changed. */
    fun updateRollouts(rollouts: List<Rollout>) {
        rollouts.filter { it !in known }.forEach(log::rolloutChanged)
        known = rollouts.toSet()
    }

    /** Writes what is due; [isLost] tells that a rollout is held back for lack of a controller. */
    fun writeIfDue(isLost: Boolean) {
        if (isLost != isContactLost) {
            isContactLost = isLost
            log.rolloutContactChanged(isLost)
        }
        val elapsed = writtenAt.elapsedNow()
        if (elapsed < INTERVAL) return
        writtenAt = time.markNow()
        counts.forEach { (rollout, sum) -> log.rolloutRequests(rollout, sum, elapsed) }
        counts.clear()
    }

    private companion object {
        val INTERVAL = 5.seconds
    }
}

/** Requests for the service of a rollout that its version got, and that were held back from it. */
internal class RolloutCounts {
    var sent = 0
    var heldBack = 0
}
