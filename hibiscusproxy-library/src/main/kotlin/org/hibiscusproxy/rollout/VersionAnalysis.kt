package org.hibiscusproxy.rollout

import org.hibiscusproxy.rollout.RolloutEvidence.Companion.isGap

/**
 * Compares the version under trial of a rollout with the other versions, over all routes and on
 * each, over the whole rollout and over the last seconds. Each second is compared with the same
 * second only, because a fault of the whole service may coincide with a larger share of the new
 * version, and would then seem to be its own. Pure.
 *
 * @param recentSeconds number of last seconds that are compared by themselves, to find a version
 * that is bad from some moment on
 * @param decisiveFailures failures from which one target convicts its version by itself; fewer than
 * the bad answers after which a bad version may get no more requests
 */
class VersionAnalysis(
    private val recentSeconds: Long = RECENT_SECONDS,
    private val decisiveFailures: Long = DECISIVE_FAILURES,
) {
    /**
     * Returns the verdict on [evidence].
     *
     * @param isShareConstant whether the version got the same share of the requests all the time,
     * so that answers whose times are unknown can be compared
     */
    fun verdict(evidence: RolloutEvidence, isShareConstant: Boolean): RolloutVerdict {
        val recent = evidence.seconds.filterKeys { it > evidence.now - recentSeconds }
        val earlier = if (isShareConstant) evidence.earlier else emptyMap()
        val whole = evidence.seconds +
            if (earlier.isEmpty()) emptyMap() else mapOf(EARLIER to earlier)
        val fault = fault(whole) ?: fault(recent) ?: sustainedFault(evidence.seconds)
        return when {
            fault != null -> RolloutVerdict.Bad(fault)
            evidence.trialTotal >= ENOUGH_ANSWERS -> RolloutVerdict.Good
            else -> RolloutVerdict.Undecided
        }
    }

    private fun fault(seconds: Map<Long, Map<String, RouteEvidence>>): String? {
        val routes = seconds.values.flatMapTo(LinkedHashSet()) { it.keys }
        val answering = routes.filterNot { it.isGap }
        val all = MatchedAnswers.of(seconds, answering.toSet())
        return failing(all)?.let { "$it on all routes" }
            ?: answering.firstNotNullOfOrNull { route ->
                failing(MatchedAnswers.of(seconds, setOf(route)))?.let { "$it on route $route" }
            }
            ?: routes.firstNotNullOfOrNull { route ->
                slow(MatchedAnswers.of(seconds, setOf(route)))?.let { "$it on route $route" }
            }
    }

    private fun failing(matched: MatchedAnswers): String? {
        val failures = matched.trial.failures
        val total = matched.trial.total
        if (failures < MINIMUM_FAILURES) return null
        val reference = upperBound(matched.referenceFailures, total, matched.referenceTotal)
        val limit = FAILURE_RATIO * reference + FAILURE_MARGIN
        if (lowerBound(failures.toDouble(), total.toDouble()) <= limit) return null
        val isOneTarget = isOneTarget(matched, limit, { it.failures.toDouble() }, { it.total })
        val share = failures.toDouble() / total
        val isDecisive = failures >= decisiveFailures && share > FAILURE_RATIO * reference
        if (isOneTarget && !isDecisive) return null
        return "$failures of $total answers failed, ${percent(reference)} of the other versions'"
    }

    private fun slow(matched: MatchedAnswers): String? {
        val total = matched.trial.answers
        val median = TimeClasses.median(matched.referenceTimes) ?: return null
        val limitClass = median + TimeClasses.classesOf(SLOW_RATIO)
        val slow = TimeClasses.above(matched.trial.times.map { it.toDouble() }, limitClass)
        if (slow < MINIMUM_FAILURES) return null
        val reference = upperBound(
            TimeClasses.above(matched.referenceTimes, limitClass),
            total,
            matched.referenceTotal,
        )
        val limit = minOf(FAILURE_RATIO * reference + SLOW_MARGIN, MEDIAN)
        if (lowerBound(slow, total.toDouble()) <= limit) return null
        val isOneTarget = isOneTarget(
            matched,
            limit,
            { counts -> TimeClasses.above(counts.times.map { it.toDouble() }, limitClass) },
            { it.answers },
        )
        if (isOneTarget) return null
        return "${slow.toLong()} of $total answers took over $SLOW_RATIO times the median time, " +
            "${percent(reference)} of the other versions'"
    }

    /** Whether one target has the faults, while others with as many answers are sound. */
    private fun isOneTarget(
        matched: MatchedAnswers,
        limit: Double,
        faults: (AnswerCounts) -> Double,
        total: (AnswerCounts) -> Long,
    ): Boolean {
        val worst = matched.trialTargets.values.maxBy(faults)
        val rest = matched.trialTargets.values.filter { it !== worst }
        val restTotal = rest.sumOf(total)
        if (restTotal < minOf(total(worst), SOUND_ANSWERS)) return false
        return rest.sumOf(faults) <= limit * restTotal
    }

    /**
     * Once the new version gets all requests there is nothing to compare with, and a fault of the
     * whole service looks the same. Such a fault ends after [SPELL_SECONDS]; a bad version stays.
     */
    private fun sustainedFault(seconds: Map<Long, Map<String, RouteEvidence>>): String? {
        val routes = seconds.values.flatMapTo(HashSet()) { it.keys }.filterNot { it.isGap }.toSet()
        val matched = MatchedAnswers.of(seconds, routes)
        val failing = matched.unmatched.entries.toList().takeLastWhile { (_, counts) ->
            counts.failures > 0 && counts.failures > UNMATCHED_SHARE * counts.total
        }
        val first = failing.firstOrNull() ?: return null
        val span = failing.last().key - first.key + 1
        val failures = failing.sumOf { it.value.failures }
        if (span <= SPELL_SECONDS || failures < MINIMUM_FAILURES) return null
        return "$failures answers failed within $span s without any of other versions"
    }

    private fun upperBound(expected: Double, total: Long, referenceTotal: Long): Double {
        if (total == 0L) return 0.0
        return Wilson.upper(expected / total, referenceTotal.toDouble(), REFERENCE_DEVIATIONS)
    }

    private fun lowerBound(count: Double, total: Double): Double =
        Wilson.lower(count / total, total, DEVIATIONS)

    private fun percent(share: Double) =
        "up to ${"%.1f".format(java.util.Locale.ROOT, share * 100)} %"

    companion object {
        /** About the time in which a version that turns bad has to be found. */
        const val RECENT_SECONDS = 3L

        /** Half of the 50 bad answers after which the time to roll back runs. */
        const val DECISIVE_FAILURES = 25L

        /** Fewer failures may be chance. */
        const val MINIMUM_FAILURES = 5

        /** Answers from which a version without a fault counts as good. */
        private const val ENOUGH_ANSWERS = 30

        /** Answers that tell a sound target from one that fails in a fifth of them. */
        private const val SOUND_ANSWERS = 20L

        private const val FAILURE_RATIO = 2.0
        private const val FAILURE_MARGIN = 0.03
        private const val SLOW_RATIO = 2.5
        private const val SLOW_MARGIN = 0.1

        /** If more than half of the answers are slow, so is the median. */
        private const val MEDIAN = 0.5

        /** One in 200 samples of a version at the limit is above it. */
        private const val DEVIATIONS = 2.6

        /** Keeps few answers of other versions from looking free of failures. */
        private const val REFERENCE_DEVIATIONS = 1.0

        /** Longer than the spells of about 4 s in which a whole service fails. */
        private const val SPELL_SECONDS = 6L

        /** Less than a failing service, more than single failures. */
        private const val UNMATCHED_SHARE = 0.05

        /** Key of the answers whose second is unknown. */
        private const val EARLIER = -10L
    }
}
