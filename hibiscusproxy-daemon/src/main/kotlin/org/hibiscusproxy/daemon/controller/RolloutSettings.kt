package org.hibiscusproxy.daemon.controller

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.rollout.VersionAnalysis

/**
 * Limits on what a bad version may cost during a rollout.
 *
 * @property exposureShare share of the requests for a service that a bad version may get
 * @property exposureSlack requests that it may get in addition
 * @property rollback time after its 50th bad answer from which it may get no request
 */
data class RolloutSettings(
    val exposureShare: Double = 0.1,
    val exposureSlack: Double = 50.0,
    val rollback: Duration = 5.seconds,
) {
    /** The analysis that finds a bad version within these limits. */
    internal fun toAnalysis() = VersionAnalysis(
        recent = (rollback * RECENT_PART).coerceIn(SHORTEST_RECENT, VersionAnalysis.RECENT),
        decisiveFailures = (exposureSlack / 2).toLong()
            .coerceIn(VersionAnalysis.MINIMUM_FAILURES.toLong(), VersionAnalysis.DECISIVE_FAILURES),
    )

    private companion object {
        /** Leaves two fifths of the time for reports, the decision and its way to the forwarders. */
        const val RECENT_PART = 0.6

        /** A few reports of each forwarder. */
        val SHORTEST_RECENT = 1.seconds
    }
}
