package org.hibiscusproxy.rollout

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
 * @property seconds answers by route and by the second in which they were reported
 * @property now the current second
 */
data class RolloutEvidence(
    val earlier: Map<String, RouteEvidence> = emptyMap(),
    val seconds: Map<Long, Map<String, RouteEvidence>> = emptyMap(),
    val now: Long = 0,
) {
    /** Sum of the answers of the version under trial, without the times between events. */
    val trialTotal: Long get() = total { it.trial.values.sumOf(AnswerCounts::total) }

    /** Sum of the answers of all versions, without the times between events. */
    val total: Long get() = trialTotal + total { it.others.total }

    /** Sum of the failures of the version under trial. */
    val trialFailures: Long get() = total { it.trial.values.sumOf(AnswerCounts::failures) }

    private fun total(count: (RouteEvidence) -> Long): Long = (seconds.values + earlier)
        .sumOf { routes -> routes.filterKeys { !it.isGap }.values.sumOf(count) }

    internal companion object {
        /** Suffix of the name of a route under which times between events of streams are counted. */
        const val GAP_SUFFIX = "#gap"

        val String.isGap: Boolean get() = endsWith(GAP_SUFFIX)
    }
}
