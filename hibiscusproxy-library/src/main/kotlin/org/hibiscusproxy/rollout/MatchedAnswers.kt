package org.hibiscusproxy.rollout

import org.hibiscusproxy.model.TargetName

/**
 * Answers of the version under trial on some routes and what they would be at the other versions.
 *
 * @property trialTargets answers of the version by target, in those seconds in which there are
 * answers of other versions to compare with
 * @property referenceFailures failures that other versions would have with as many answers at the
 * same times and on the same routes
 * @property referenceTimes such complete answers by class of time
 * @property referenceTotal answers of other versions that this was computed from
 * @property unmatched answers of the version in seconds with nothing to compare with
 */
internal class MatchedAnswers private constructor(
    val trialTargets: Map<TargetName, AnswerCounts>,
    val referenceFailures: Double,
    val referenceTimes: List<Double>,
    val referenceTotal: Long,
    val unmatched: Map<Long, AnswerCounts>,
) {
    /** Answers of all targets in [trialTargets]. */
    val trial: AnswerCounts = trialTargets.values.fold(AnswerCounts(), AnswerCounts::plus)

    companion object {
        /** Other versions' answers from which a second is compared with nothing but itself. */
        private const val ENOUGH_IN_SECOND = 10

        /** Other versions' answers in three seconds from which the middle one is compared. */
        private const val ENOUGH_AROUND = 3

        /** Answers that count as many as the share over all routes, to bound the effect of few. */
        private const val PRIOR_ANSWERS = 2.0

        /** Matches the answers on [routes] in [seconds]. */
        fun of(
            seconds: Map<Long, Map<String, RouteEvidence>>,
            routes: Set<String>,
        ): MatchedAnswers {
            val others = seconds.mapValues { (_, answers) ->
                answers.filterKeys { it in routes }.values
                    .fold(AnswerCounts()) { sum, route -> sum + route.others }
            }
            val trialTargets = LinkedHashMap<TargetName, AnswerCounts>()
            val unmatched = sortedMapOf<Long, AnswerCounts>()
            val expected = Expected()
            val matched = LinkedHashSet<Long>()
            for ((second, answers) in seconds) {
                val around = around(second) { others[it] }
                for ((route, evidence) in answers.filterKeys { it in routes }) {
                    val trial = evidence.trial.values.fold(AnswerCounts(), AnswerCounts::plus)
                    if (trial.total == 0L) continue
                    if (around.total < ENOUGH_AROUND) {
                        unmatched.merge(second, trial, AnswerCounts::plus)
                        continue
                    }
                    matched += second
                    evidence.trial.forEach { (target, counts) ->
                        trialTargets.merge(target, counts, AnswerCounts::plus)
                    }
                    val own = around(second) { seconds[it]?.get(route)?.others }
                    expected.add(trial, own, around)
                }
            }
            return MatchedAnswers(
                trialTargets,
                expected.failures,
                expected.times.toList(),
                matched.sumOf { others.getValue(it).total },
                unmatched,
            )
        }

        /** Counts of [second], or of the seconds around it as well if those are few. */
        private fun around(second: Long, counts: (Long) -> AnswerCounts?): AnswerCounts {
            val own = counts(second) ?: AnswerCounts()
            if (own.total >= ENOUGH_IN_SECOND) return own
            return listOfNotNull(counts(second - 1), own, counts(second + 1))
                .reduce(AnswerCounts::plus)
        }
    }

    private class Expected {
        var failures = 0.0
        val times = DoubleArray(AnswerTimes.COUNT)

        /** Adds what [own], the others' answers on the route, let expect for [trial]. */
        fun add(trial: AnswerCounts, own: AnswerCounts, all: AnswerCounts) {
            val prior = all.failures.toDouble() / all.total
            val share = (own.failures + PRIOR_ANSWERS * prior) / (own.total + PRIOR_ANSWERS)
            failures += share * trial.total
            if (own.answers == 0L) return
            own.times.forEachIndexed { index, count ->
                if (index <
                    times.size
                ) {
                    times[index] += count * trial.answers.toDouble() / own.answers
                }
            }
        }
    }
}
