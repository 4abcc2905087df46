package org.hibiscusproxy.daemon.controller

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.consensus.ReplicatedLog
import org.hibiscusproxy.model.ProcessName
import org.slf4j.LoggerFactory

/**
 * Measures how long no leader has been known, and logs which voters are silent when that lasts
 * longer than elections do. Used by the worker only, except for [leaderlessTime].
 */
internal class LeaderWatch(
    private val log: ReplicatedLog,
    private val time: TimeSource.WithComparableMarks,
) {
    private val messageAt = HashMap<ProcessName, ComparableTimeMark>()
    private var leaderSeenAt = time.markNow()
    private var loggedAt: ComparableTimeMark? = null

    /** Time for which no leader has been known. Readable from any thread. */
    @Volatile
    var leaderlessTime: Duration = Duration.ZERO
        private set

    /** Records that a controller sent a message about the log. */
    fun recordMessage(sender: ProcessName) {
        messageAt[sender] = time.markNow()
    }

    /** Checks whether a leader is known now. */
    fun advance() {
        val now = time.markNow()
        if (log.leader != null) {
            if (loggedAt != null) LOG.info("controller: a leader is known again, {}", log.leader)
            leaderSeenAt = now
            loggedAt = null
        }
        leaderlessTime = now - leaderSeenAt
        if (leaderlessTime < LOG_INTERVAL) return
        if (loggedAt.let { it != null && now - it < LOG_INTERVAL }) return
        loggedAt = now
        val voters = log.membership.voters.joinToString { "$it ${describe(it, now)}" }
        LOG.warn("controller: no leader for {}, voters: {}", leaderlessTime, voters)
    }

    private fun describe(voter: ProcessName, now: ComparableTimeMark): String =
        messageAt[voter]?.let { "silent for ${(now - it).inWholeMilliseconds} ms" } ?: "not heard"

    private companion object {
        val LOG_INTERVAL = 5.seconds
        val LOG = LoggerFactory.getLogger(LeaderWatch::class.java)
    }
}
