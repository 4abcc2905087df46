package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark

/**
 * Tells trouble of one target from trouble of its whole service, by the latest outcomes at all
 * targets of [pool]. A target that fails as often as the others gains nothing for callers if it is
 * avoided, and moving prompts away from engines costs reading or copying them.
 */
internal class ServiceTrouble(
    private val pool: List<TargetState>,
    private val now: ComparableTimeMark,
) {
    private val answers: Double = pool.sumOf { answers(it) }
    private val failures: Double = pool.sumOf { failures(it) }

    /** Share of failures at the targets except [state], from 0 to 1. */
    fun shareOfOthers(state: TargetState): Double {
        val others = answers - answers(state)
        return ((failures - failures(state)) / (others + PRIOR_OTHERS)).coerceIn(0.0, 1.0)
    }

    /** How much more often [state] fails than the others do; 0 if it does not, at most 1. */
    fun excessShare(state: TargetState): Double {
        val usual = shareOfOthers(state)
        val outcomes = state.health.outcomes
        val own = (outcomes.failures(now) + PRIOR_OWN * usual) / (outcomes.answers(now) + PRIOR_OWN)
        return (own - usual).coerceAtLeast(0.0)
    }

    /**
     * Whether a request that failed at [state] may as well be sent there again: the service is in
     * trouble, and this target is not in more trouble than the others.
     */
    fun mayRepeatAt(state: TargetState): Boolean = shareOfOthers(state) >= TROUBLE_SHARE &&
        excessShare(state) < MAXIMUM_EXCESS_SHARE && !state.health.isSuspended(now)

    /** A target with very many outcomes counts no more than one with [MAXIMUM_OUTCOMES]. */
    private fun weight(state: TargetState): Double {
        val count = state.health.outcomes.answers(now)
        return if (count > MAXIMUM_OUTCOMES) MAXIMUM_OUTCOMES / count else 1.0
    }

    private fun answers(state: TargetState): Double =
        state.health.outcomes.answers(now) * weight(state)

    private fun failures(state: TargetState): Double =
        state.health.outcomes.failures(now) * weight(state)

    companion object {
        /** From this share on, failures are no sign of one target's own fault. */
        private const val TROUBLE_SHARE = 0.2

        /**
         * An engine whose failure share exceeds that of the others by this loses its preference for
         * cached prefixes.
         */
        const val MAXIMUM_EXCESS_SHARE = 0.3

        /** One busy target in trouble must not pass for trouble of the service. */
        private const val MAXIMUM_OUTCOMES = 10.0

        /** Few outcomes of others say little about the service. */
        private const val PRIOR_OTHERS = 2.0

        /** With this prior, 4 failures in a row make an excess of a third, as 3 single ones do not. */
        private const val PRIOR_OWN = 8.0
    }
}
