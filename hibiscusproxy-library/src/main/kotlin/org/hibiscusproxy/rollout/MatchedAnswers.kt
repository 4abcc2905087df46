package org.hibiscusproxy.rollout

import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.rollout.RolloutEvidence.Companion.isGap

/**
 * Answers of the version under trial on some routes and what they would be at the other versions.
 *
 * @property trialTargets answers of the version by target, in those intervals in which there are
 * answers of other versions to compare with
 * @property trialIntervals the same answers by interval
 * @property referenceFailures failures that other versions would have with as many answers at the
 * same times and on the same routes
 * @property referenceTimes such complete answers by class of time
 * @property referenceSize number of answers of other versions that would tell as much if each
 * counted the same; an interval in which the version has many answers and the others few tells little
 * @property unmatched answers of the version in intervals with nothing to compare with
 */
internal class MatchedAnswers private constructor(
    val trialTargets: Map<TargetName, AnswerCounts>,
    val trialIntervals: Map<Long, AnswerCounts>,
    val referenceFailures: Double,
    val referenceTimes: List<Double>,
    val referenceSize: Double,
    val unmatched: Map<Long, AnswerCounts>,
) {
    /** Answers of all targets in [trialTargets]. */
    val trial: AnswerCounts = trialTargets.values.fold(AnswerCounts(), AnswerCounts::plus)

    companion object {
        /** Other versions' answers from which a interval is compared with nothing but itself. */
        private const val ENOUGH_IN_INTERVAL = 10

        /** Other versions' answers in three intervals from which the middle one is compared. */
        private const val ENOUGH_AROUND = 3

        /**
         * The share over all routes counts as much as this number of answers on a route, since most
         * faults of a service concern all its routes and few answers may miss them.
         */
        private const val PRIOR_ANSWERS = 5.0

        /** Matches the answers on [routes] in [intervals]. */
        fun of(
            intervals: Map<Long, Map<String, RouteEvidence>>,
            routes: Set<String>,
        ): MatchedAnswers {
            val others = intervals.mapValues { (_, answers) ->
                answers.filterKeys { !it.isGap }.values
                    .fold(AnswerCounts()) { sum, route -> sum + route.others }
            }
            val trialTargets = LinkedHashMap<TargetName, AnswerCounts>()
            val unmatched = sortedMapOf<Long, AnswerCounts>()
            val typical = routes.associateWith { route ->
                intervals.values.mapNotNull { it[route]?.others }
                    .fold(AnswerCounts(), AnswerCounts::plus)
            }
            val expected = Expected()
            val matched = LinkedHashMap<Long, AnswerCounts>()
            for ((interval, answers) in intervals) {
                val around = around(interval) { others[it] }
                for ((route, evidence) in answers.filterKeys { it in routes }) {
                    val trial = evidence.trial.values.fold(AnswerCounts(), AnswerCounts::plus)
                    if (trial.total == 0L) continue
                    if (others.getValue(interval).total == 0L || around.total < ENOUGH_AROUND) {
                        unmatched.merge(interval, trial, AnswerCounts::plus)
                        continue
                    }
                    matched.merge(interval, trial, AnswerCounts::plus)
                    evidence.trial.forEach { (target, counts) ->
                        trialTargets.merge(target, counts, AnswerCounts::plus)
                    }
                    expected.add(trial, evidence.others, around, typical.getValue(route))
                }
            }
            return MatchedAnswers(
                trialTargets,
                matched,
                expected.failures,
                expected.times.toList(),
                expected.size,
                unmatched,
            )
        }

        /** Counts of [interval], or of the intervals around it as well if those are few. */
        private fun around(interval: Long, counts: (Long) -> AnswerCounts?): AnswerCounts {
            val own = counts(interval) ?: AnswerCounts()
            if (own.total >= ENOUGH_IN_INTERVAL) return own
            return listOfNotNull(counts(interval - 1), own, counts(interval + 1))
                .reduce(AnswerCounts::plus)
        }
    }

    private class Expected {
        var failures = 0.0
        private var total = 0.0
        private var weightedTotal = 0.0

        /** Effective size of a sample whose parts have different weights, by Kish. */
        val size: Double get() = if (total == 0.0) 0.0 else total * total / weightedTotal
        val times = DoubleArray(AnswerTimes.COUNT)

        /**
         * Adds what [own], the others' answers on the route, let expect for [trial]. A few of [all],
         * on all routes, and of [typical], at all times, are added to them.
         */
        fun add(trial: AnswerCounts, own: AnswerCounts, all: AnswerCounts, typical: AnswerCounts) {
            val failing = all.failures.toDouble() / all.total
            val share = (own.failures + PRIOR_ANSWERS * failing) / (own.total + PRIOR_ANSWERS)
            failures += share * trial.total
            total += trial.total
            weightedTotal += trial.total.toDouble() * trial.total / (own.total + PRIOR_ANSWERS)
            if (typical.answers == 0L) return
            val prior = PRIOR_ANSWERS / typical.answers
            val scale = trial.answers / (own.answers + PRIOR_ANSWERS)
            for (index in times.indices) {
                times[index] += scale * (own.timesIn(index) + prior * typical.timesIn(index))
            }
        }

        private fun AnswerCounts.timesIn(index: Int): Long = times.getOrElse(index) { 0 }
    }
}
