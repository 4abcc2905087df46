package org.hibiscusproxy.rollout

import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.model.TargetName

/**
 * Answers on one route in one span of time.
 *
 * @property trial answers of the version under trial by target
 * @property others answers of all other versions
 */
data class RouteEvidence(
    val trial: Map<TargetName, AnswerCounts> = emptyMap(),
    val others: AnswerCounts = AnswerCounts(),
) {
    /** Returns the sum of both. */
    operator fun plus(more: RouteEvidence) = RouteEvidence(
        (trial.keys + more.trial.keys).associateWith { target ->
            listOfNotNull(trial[target], more.trial[target]).reduce(AnswerCounts::plus)
        },
        others + more.others,
    )
}

/**
 * Answers during a rollout by time.
 *
 * @property earlier answers by route that forwarders got before their first report to this leader;
 * their times are unknown
 * @property seconds answers by route and by the interval of [INTERVAL] in which they were reported
 * @property now the current interval
 */
data class RolloutEvidence(
    val earlier: Map<String, RouteEvidence> = emptyMap(),
    val intervals: Map<Long, Map<String, RouteEvidence>> = emptyMap(),
    val now: Long = 0,
) {
    /** Sum of the answers of the version under trial, without the times between events. */
    val trialTotal: Long get() = total { it.trial.values.sumOf(AnswerCounts::total) }

    /** Sum of the answers of all versions, without the times between events. */
    val total: Long get() = trialTotal + total { it.others.total }

    /** Sum of the failures of the version under trial. */
    val trialFailures: Long get() = total { it.trial.values.sumOf(AnswerCounts::failures) }

    private fun total(count: (RouteEvidence) -> Long): Long = (intervals.values + earlier)
        .sumOf { routes -> routes.filterKeys { !it.isGap }.values.sumOf(count) }

    companion object {
        /**
         * Twice the time between a forwarder's reports. Longer ones mix the answers before and during
         * a fault of the whole service; shorter ones have too few answers at 20 requests a second.
         */
        val INTERVAL = 500.milliseconds

        /** Suffix of the name of a route under which times between events of streams are counted. */
        internal const val GAP_SUFFIX = "#gap"

        internal val String.isGap: Boolean get() = endsWith(GAP_SUFFIX)
    }
}
