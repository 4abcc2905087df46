package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Refuses requests with the time after which capacity is likely to be free, spread at random. */
internal class PlacementRefusals(private val random: Random) {
    /** Refuses a request to a service without a usable target. */
    fun noTarget(): PlacementChoice = refuse(RefusalReason.NO_TARGET, NO_TARGET_RETRY_AFTER)

    /** Refuses to continue a stream whose version has no target; waiting does not help. */
    fun versionGone(): PlacementChoice =
        PlacementChoice.Refused(RefusalReason.VERSION_GONE, Duration.ZERO)

    /** Refuses a request that would have to wait for [wait] at the best target. */
    fun overloaded(wait: Duration): PlacementChoice =
        unavailable(RefusalReason.OVERLOADED, wait / 2)

    /** Refuses a request because every target stated that it wants none before [wait]. */
    fun paused(wait: Duration): PlacementChoice = refuse(RefusalReason.PAUSED, wait)

    /** Refuses a request because no target is available before [wait]. */
    fun unavailable(reason: RefusalReason, wait: Duration): PlacementChoice =
        refuse(reason, wait.coerceIn(MINIMUM_RETRY_AFTER, MAXIMUM_RETRY_AFTER))

    private fun refuse(reason: RefusalReason, retryAfter: Duration): PlacementChoice {
        val jitter = 1 + random.nextDouble() * RETRY_AFTER_JITTER
        return PlacementChoice.Refused(reason, retryAfter * jitter)
    }

    private companion object {
        /** About the time for which a restarting target or a lagging list leaves no target. */
        val NO_TARGET_RETRY_AFTER = 500.milliseconds
        val MINIMUM_RETRY_AFTER = 50.milliseconds
        val MAXIMUM_RETRY_AFTER = 1_000.milliseconds

        /** Prevents callers that were refused simultaneously from retrying simultaneously. */
        const val RETRY_AFTER_JITTER = 0.5
    }
}
