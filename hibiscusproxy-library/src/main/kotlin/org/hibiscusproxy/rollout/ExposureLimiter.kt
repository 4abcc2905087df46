package org.hibiscusproxy.rollout

/**
 * Limits the requests that one forwarder sends to the version of a rollout, so that all forwarders
 * together stay within [limits], whichever of them restart. Each request for the service earns a
 * part of a request for the version; every attempt at the version, retries included, uses one.
 *
 * New requests earn less than the limit. The rest, and the slack, are kept for streams that began
 * at the version, which no other version can continue.
 *
 * @param draw random number from 0 to 1 (exclusive). Part of a request that a new process may send
 * at once, without which forwarders with few requests would never send one. Over many processes it
 * adds as much as rounding down to whole requests takes away.
 */
class ExposureLimiter(private val limits: ExposureLimits, private val draw: Double) {
    private var unusedByNew = 0.0
    private var unusedByBound = 0.0

    /**
     * Whether the version may get an attempt now.
     *
     * @param isRetry whether the request was sent to another target before, so that it earns nothing
     * @param isBound whether the request continues a stream that began at the version
     * @param forwarders number of forwarders that share the slack
     */
    fun permits(
        phase: RolloutPhase,
        isRetry: Boolean,
        isBound: Boolean,
        forwarders: Int,
    ): Boolean {
        val slack = limits.slack / forwarders
        return when (phase) {
            RolloutPhase.TRIAL, RolloutPhase.EXPANDING -> if (isBound) {
                unusedByBound + earned(boundShare(phase), isRetry) + slack >= 1
            } else {
                val credit = draw * minOf(slack, 1.0)
                unusedByNew + earned(newShare(phase), isRetry) + credit >= 1
            }

            RolloutPhase.MOVING -> true

            RolloutPhase.COMPLETED -> true

            RolloutPhase.ROLLED_BACK -> false
        }
    }

    /** Records an attempt that is sent to a target, [isExposed] if it is one of the version. */
    fun record(phase: RolloutPhase, isRetry: Boolean, isExposed: Boolean) {
        val used = if (isExposed) 1 else 0
        val sum = unusedByNew + earned(newShare(phase), isRetry) - used
        unusedByNew = minOf(sum, MAXIMUM_UNUSED_REQUESTS)
        unusedByBound += earned(boundShare(phase), isRetry) - used
    }

    private fun earned(share: Double, isRetry: Boolean): Double = if (isRetry) 0.0 else share

    private fun newShare(phase: RolloutPhase): Double = when (phase) {
        RolloutPhase.TRIAL -> limits.share * TRIAL_FRACTION
        else -> EXPANDING_SHARE
    }

    private fun boundShare(phase: RolloutPhase): Double = when (phase) {
        RolloutPhase.TRIAL -> limits.share
        else -> EXPANDING_SHARE
    }

    companion object {
        /** Leaves room for the requests of the phase after the trial. */
        const val TRIAL_FRACTION = 0.6

        private const val EXPANDING_SHARE = 0.5

        /**
         * Bounds the burst at targets that are listed late; a version that gets its whole share at
         * once would look slow.
         */
        private const val MAXIMUM_UNUSED_REQUESTS = 2.0
    }
}
