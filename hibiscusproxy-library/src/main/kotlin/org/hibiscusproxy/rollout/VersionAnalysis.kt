package org.hibiscusproxy.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.rollout.RolloutEvidence.Companion.isGap

/**
 * Compares the version under trial of a rollout with the other versions, over all routes and on
 * each, over the whole rollout and over the last seconds. Each interval is compared with the same
 * interval only, because a fault of the whole service may coincide with a larger share of the new
 * version, and would then seem to be its own. For the same reason the interval that is not over yet
 * is left out, and a single interval convicts only if the difference is large: the fault may begin
 * within it. Pure.
 *
 * @param recent time that is compared by itself, to find a version that is bad from some moment on
 * @param decisiveFailures failures from which one target convicts its version by itself; fewer than
 * the bad answers after which a bad version may get no more requests
 */
class VersionAnalysis(
    private val recent: Duration = RECENT,
    private val decisiveFailures: Long = DECISIVE_FAILURES,
) {
    /**
     * Returns the verdict on [evidence].
     *
     * @param isShareConstant whether the version got the same share of the requests all the time,
     * so that answers whose times are unknown can be compared
     */
    fun verdict(evidence: RolloutEvidence, isShareConstant: Boolean): RolloutVerdict {
        val over = evidence.intervals.filterKeys { it < evidence.now }
        val recentCount = (recent / RolloutEvidence.INTERVAL).toLong()
        val latest = over.filterKeys { it >= evidence.now - recentCount }
        val earlier = if (isShareConstant) evidence.earlier else emptyMap()
        val whole = over +
            if (earlier.isEmpty()) emptyMap() else mapOf(EARLIER to earlier)
        val fault = fault(whole) ?: fault(latest) ?: sustainedFault(over)
        return when {
            fault != null -> RolloutVerdict.Bad(fault)
            evidence.trialTotal >= ENOUGH_ANSWERS -> RolloutVerdict.Good
            else -> RolloutVerdict.Undecided
        }
    }

    private fun fault(intervals: Map<Long, Map<String, RouteEvidence>>): String? {
        val routes = intervals.values.flatMapTo(LinkedHashSet()) { it.keys }
        val answering = routes.filterNot { it.isGap }
        val all = MatchedAnswers.of(intervals, answering.toSet())
        return failing(all)?.let { "$it on all routes" }
            ?: answering.firstNotNullOfOrNull { route ->
                failing(MatchedAnswers.of(intervals, setOf(route)))?.let { "$it on route $route" }
            }
            ?: routes.firstNotNullOfOrNull { route ->
                slow(MatchedAnswers.of(intervals, setOf(route)))?.let { "$it on route $route" }
            }
    }

    private fun failing(matched: MatchedAnswers): String? {
        val failures = matched.trial.failures
        val total = matched.trial.total
        if (failures < MINIMUM_FAILURES) return null
        val reference = upperBound(matched.referenceFailures, total, matched.referenceSize)
        val limit = FAILURE_RATIO * reference + FAILURE_MARGIN
        val lowest = lowerBound(failures.toDouble(), total.toDouble())
        if (lowest <= limit) return null
        val faults = { counts: AnswerCounts -> counts.failures.toDouble() }
        val isClear =
            failures >= CLEAR_FAILURES && lowest > CLEAR_RATIO * reference + FAILURE_MARGIN
        val isLasting = isInSeveralIntervals(matched, limit, faults, AnswerCounts::total)
        if (!isClear && !isLasting) return null
        val isOneTarget =
            isOneTarget(matched, limit, FAILURES_ELSEWHERE, faults, AnswerCounts::total)
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
        if (slow < MINIMUM_FAILURES || matched.referenceSize < ENOUGH_TIMES) return null
        val reference = upperBound(
            TimeClasses.above(matched.referenceTimes, limitClass),
            total,
            matched.referenceSize,
        )
        val limit = minOf(FAILURE_RATIO * reference + SLOW_MARGIN, MEDIAN)
        if (lowerBound(slow, total.toDouble()) <= limit) return null
        val faults = { counts: AnswerCounts ->
            TimeClasses.above(counts.times.map { it.toDouble() }, limitClass)
        }
        if (!isInSeveralIntervals(matched, limit, faults, AnswerCounts::answers)) return null
        if (isOneTarget(matched, limit, SLOW_ELSEWHERE, faults, AnswerCounts::answers)) return null
        return "${slow.toLong()} of $total answers took over $SLOW_RATIO times the median time, " +
            "${percent(reference)} of the other versions'"
    }

    /** Whether one target has the faults, while the others are sound or too few to tell. */
    private fun isOneTarget(
        matched: MatchedAnswers,
        limit: Double,
        minimumElsewhere: Int,
        faults: (AnswerCounts) -> Double,
        total: (AnswerCounts) -> Long,
    ): Boolean {
        val worst = matched.trialTargets.values.maxBy(faults)
        val rest = matched.trialTargets.values.filter { it !== worst }
        val restTotal = rest.sumOf(total)
        if (restTotal == 0L) return total(worst) < ONLY_TARGET_ANSWERS
        val restFaults = rest.sumOf(faults)
        val restShare = restFaults / restTotal
        return restFaults < minimumElsewhere ||
            Wilson.lower(restShare, restTotal.toDouble(), SOUND_DEVIATIONS) <= limit
    }

    /** Whether the faults are as clear without the interval that has the most. */
    private fun isInSeveralIntervals(
        matched: MatchedAnswers,
        limit: Double,
        faults: (AnswerCounts) -> Double,
        total: (AnswerCounts) -> Long,
    ): Boolean {
        val worst = matched.trialIntervals.values.maxBy(faults)
        val rest = matched.trialIntervals.values.filter { it !== worst }
        val restFaults = rest.sumOf(faults)
        return restFaults >= MINIMUM_FAULTS_BEFORE && restFaults > limit * rest.sumOf(total)
    }

    /**
     * Once the new version gets all requests there is nothing to compare with, and a fault of the
     * whole service looks the same. Such a fault ends after [LONGEST_SPELL]; a bad version stays.
     */
    private fun sustainedFault(intervals: Map<Long, Map<String, RouteEvidence>>): String? {
        val routes = intervals.values.flatMapTo(HashSet()) {
            it.keys
        }.filterNot { it.isGap }.toSet()
        val matched = MatchedAnswers.of(intervals, routes)
        val failing = matched.unmatched.entries.toList().takeLastWhile { (_, counts) ->
            counts.failures > 0 && counts.failures > UNMATCHED_SHARE * counts.total
        }
        val first = failing.firstOrNull() ?: return null
        val span = RolloutEvidence.INTERVAL * (failing.last().key - first.key + 1).toInt()
        val failures = failing.sumOf { it.value.failures }
        if (span <= LONGEST_SPELL || failures < MINIMUM_FAILURES) return null
        return "$failures answers failed within $span without any of other versions"
    }

    private fun upperBound(expected: Double, total: Long, referenceSize: Double): Double {
        if (total == 0L) return 0.0
        return Wilson.upper(expected / total, referenceSize, REFERENCE_DEVIATIONS)
    }

    private fun lowerBound(count: Double, total: Double): Double =
        Wilson.lower(count / total, total, DEVIATIONS)

    private fun percent(share: Double) =
        "up to ${"%.1f".format(java.util.Locale.ROOT, share * 100)} %"

    companion object {
        /** About the time in which a version that turns bad has to be found. */
        val RECENT = 3.seconds

        /** Half of the 50 bad answers after which the time to roll back runs. */
        const val DECISIVE_FAILURES = 25L

        /** Fewer failures may be chance. */
        const val MINIMUM_FAILURES = 5

        /**
         * Answers from which a version without a fault counts as good. A fifth of them failing is
         * found in nearly all samples.
         */
        private const val ENOUGH_ANSWERS = 100

        /** Answers of one target from which others would have answered as well, if there were any. */
        private const val ONLY_TARGET_ANSWERS = 12L

        /** Failures at targets other than the worst; a single one may be chance. */
        private const val FAILURES_ELSEWHERE = 2

        /** Slow answers at targets other than the worst; sound ones have more of them. */
        private const val SLOW_ELSEWHERE = 3

        /** Faults in intervals other than the worst; a single one may be chance. */
        private const val MINIMUM_FAULTS_BEFORE = 2

        /** A target with one chance failure in ten answers still counts as sound. */
        private const val SOUND_DEVIATIONS = 2.5

        private const val FAILURE_RATIO = 2.0

        /**
         * One interval convicts with this many failures and a share so far above the others' that a
         * fault of the whole service would have to begin just before the version's answers. Many
         * requests may wait for a version that is listed late.
         */
        private const val CLEAR_FAILURES = 10
        private const val CLEAR_RATIO = 3.0
        private const val FAILURE_MARGIN = 0.03
        private const val SLOW_RATIO = 2.5

        /** Answers of other versions from which their median time is known well enough. */
        private const val ENOUGH_TIMES = 20
        private const val SLOW_MARGIN = 0.1

        /** If more than half of the answers are slow, so is the median. */
        private const val MEDIAN = 0.5

        /**
         * One in 2,000 samples of a version at the limit is above it. Each rollout is judged some
         * hundred times, on several routes.
         */
        private const val DEVIATIONS = 3.3

        /** Keeps few answers of other versions from looking free of failures. */
        private const val REFERENCE_DEVIATIONS = 1.0

        /** Longer than the spells of about 4 s in which a whole service fails. */
        private val LONGEST_SPELL = 6.seconds

        /** Less than a failing service, more than single failures. */
        private const val UNMATCHED_SHARE = 0.05

        /** Key of the answers whose interval is unknown. */
        private const val EARLIER = -10L
    }
}
