package org.hibiscusproxy.daemon.controller

import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.consensus.Membership
import org.slf4j.LoggerFactory

/**
 * Reports a cluster that has had too few voters for the stated losses for [REPORT_DELAY]. Its changes
 * need more voters than a majority, and wait while one of these is away.
 */
internal class ToleranceWatch(
    private val toleratedLosses: Int,
    private val time: TimeSource.WithComparableMarks,
) {
    private var changedAt = time.markNow()
    private var reported = 0
    private var voters = 0

    /** Voters that are missing to bear the stated losses. Readable from any thread. */
    @Volatile
    var missingVoters = 0
        private set

    /** Records the [membership] that this controller knows now. */
    fun advance(membership: Membership) {
        val count = membership.voters.size
        if (count != voters) {
            voters = count
            changedAt = time.markNow()
        }
        missingVoters = (2 * toleratedLosses + 1 - count).coerceAtLeast(0)
        if (missingVoters == reported || changedAt.elapsedNow() < REPORT_DELAY) return
        reported = missingVoters
        report()
    }

    private fun report() {
        if (missingVoters == 0) {
            LOG.info("controller: {} voters bear {} losses", voters, toleratedLosses)
            return
        }
        LOG.warn(
            "controller: {} voters cannot bear {} losses without waiting, {} are missing; " +
                "changes need {} of them",
            voters,
            toleratedLosses,
            missingVoters,
            maxOf(voters / 2 + 1, minOf(voters, toleratedLosses + 1)),
        )
    }

    private companion object {
        /** Longer than the start of a fleet or the return of a lost controller. */
        val REPORT_DELAY = 10.seconds
        val LOG = LoggerFactory.getLogger(ToleranceWatch::class.java)
    }
}
