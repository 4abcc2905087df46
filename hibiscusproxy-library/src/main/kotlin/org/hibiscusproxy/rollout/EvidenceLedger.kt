package org.hibiscusproxy.rollout

import java.util.TreeMap
import kotlin.time.TimeSource
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Incarnation

/** A forwarder's process, whose counts start from zero. */
data class EvidenceSource(val process: ProcessName, val incarnation: Incarnation)

/**
 * Collects the cumulative counts that all forwarders report, and sorts what is new in each report
 * by the interval in which it arrived. The counts of a former process of a forwarder are kept.
 * Not thread-safe.
 */
class EvidenceLedger(private val time: TimeSource.WithComparableMarks) {
    private val startedAt = time.markNow()
    private val rollouts = HashMap<Long, Counted>()

    /** Records the counts that [source] reports; lower ones than before are late and ignored. */
    fun record(source: EvidenceSource, evidence: List<VersionEvidence>) {
        evidence.groupBy { it.rollout }.forEach { (rollout, reported) ->
            rollouts.getOrPut(rollout) { Counted() }.record(source, reported)
        }
    }

    /** Returns what was reported about the rollout [number]. */
    fun evidence(number: Long): RolloutEvidence =
        rollouts[number]?.evidence() ?: RolloutEvidence(now = interval())

    /** Forgets all rollouts but those with [numbers]. */
    fun retain(numbers: Set<Long>) {
        rollouts.keys.retainAll(numbers)
    }

    private fun interval(): Long = (startedAt.elapsedNow() / RolloutEvidence.INTERVAL).toLong()

    private data class Key(val source: EvidenceSource, val route: String, val target: TargetName?)

    private inner class Counted {
        private val known = HashMap<Key, AnswerCounts>()
        private val sources = HashSet<EvidenceSource>()
        private var earlier: Map<String, RouteEvidence> = emptyMap()
        private val intervals = TreeMap<Long, Map<String, RouteEvidence>>()

        fun record(source: EvidenceSource, reported: List<VersionEvidence>) {
            val isFirst = sources.add(source)
            val added = reported.mapNotNull { part ->
                newOf(source, part)?.let { part.route to it }
            }
            if (isFirst) {
                earlier = earlier.plusAll(added)
            } else {
                intervals[interval()] = intervals[interval()].orEmpty().plusAll(added)
                if (intervals.size > MAXIMUM_INTERVALS) mergeOldest()
            }
        }

        private fun newOf(source: EvidenceSource, part: VersionEvidence): RouteEvidence? {
            val key = Key(source, part.route, part.target)
            val before = known[key] ?: AnswerCounts()
            val counts = part.counts()
            if (counts.total <= before.total) return null
            known[key] = counts
            val new = counts.since(before)
            val target = part.target ?: return RouteEvidence(others = new)
            return RouteEvidence(trial = mapOf(target to new))
        }

        private fun mergeOldest() {
            val oldest = intervals.pollFirstEntry().value
            val next = intervals.firstKey()
            intervals[next] = intervals.getValue(next).plusAll(oldest.toList())
        }

        private fun Map<String, RouteEvidence>.plusAll(added: List<Pair<String, RouteEvidence>>) =
            added.fold(this) { sum, (route, new) ->
                sum + (route to (sum[route] ?: RouteEvidence()) + new)
            }

        fun evidence() = RolloutEvidence(earlier, intervals.toMap(), interval())
    }

    private companion object {
        /** Bounds the memory of a rollout of hours; older answers are summed up. */
        const val MAXIMUM_INTERVALS = 120
    }
}
