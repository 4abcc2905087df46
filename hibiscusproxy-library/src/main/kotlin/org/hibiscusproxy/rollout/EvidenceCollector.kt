package org.hibiscusproxy.rollout

import kotlin.time.Duration
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TargetName

/**
 * Counts the answers of this forwarder's targets for each running rollout of their service, by
 * route, and by target for the version under trial. The counts are cumulative; changed ones are
 * reported, and all of them to a new leader. Not thread-safe.
 */
class EvidenceCollector {
    private var running: Map<ServiceName, Rollout> = emptyMap()
    private val counts = LinkedHashMap<Key, Counts>()

    /** Replaces the rollouts; counts of those that have ended are dropped. */
    fun updateRollouts(rollouts: List<Rollout>) {
        running = rollouts.filter { it.phase.isRunning }.associateBy { it.service }
        val numbers = running.values.mapTo(HashSet()) { it.number }
        counts.keys.removeAll { it.rollout !in numbers }
    }

    /** Records a complete answer of [target] that is no failure. */
    fun recordAnswer(route: String, target: DiscoveredTarget) =
        change(route, target) { it.answers += 1 }

    /** Records that [target] failed a request that it may have run. */
    fun recordFailure(route: String, target: DiscoveredTarget) =
        change(route, target) { it.failures += 1 }

    /** Records the [time] of a complete answer, or until the first event of a stream. */
    fun recordTime(route: String, target: DiscoveredTarget, time: Duration) =
        change(route, target) { it.times[AnswerTimes.classOf(time)] += 1 }

    /**
     * Records the mean time between the events of a stream, apart from its first event. The answer
     * itself is counted under the name of the route only.
     */
    fun recordGap(route: String, target: DiscoveredTarget, gap: Duration) =
        recordTime(route + GAP_SUFFIX, target, gap)

    /** Returns the counts that changed since the last call. */
    fun takeChanged(): List<VersionEvidence> = counts.filterValues { it.isChanged }
        .map { (key, known) ->
            known.isChanged = false
            key.toEvidence(known)
        }

    /** Reports all counts again, because the leader may not know them. */
    fun reportAgain() = counts.values.forEach { it.isChanged = true }

    private fun change(route: String, target: DiscoveredTarget, action: (Counts) -> Unit) {
        val rollout = running[target.service] ?: return
        val name = target.name.takeIf { target.version == rollout.version }
        val known = counts.getOrPut(Key(rollout.number, route, name)) { Counts() }
        action(known)
        known.isChanged = true
    }

    private fun Key.toEvidence(known: Counts): VersionEvidence {
        val times = if (known.times.any { it > 0 }) known.times.toList() else emptyList()
        return VersionEvidence(rollout, route, target, known.answers, known.failures, times)
    }

    private data class Key(val rollout: Long, val route: String, val target: TargetName?)

    private class Counts {
        var answers = 0
        var failures = 0
        val times = IntArray(AnswerTimes.COUNT)
        var isChanged = false
    }

    companion object {
        /** Follows the name of a route in evidence of times between events. */
        const val GAP_SUFFIX = "#gap"
    }
}
