package org.hibiscusproxy.daemon.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.hibiscusproxy.daemon.transport.ControllerLink
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.ClaimAcknowledgement
import org.hibiscusproxy.protocol.ClaimAnswer
import org.hibiscusproxy.protocol.ClaimCompletion
import org.hibiscusproxy.protocol.ClaimKey
import org.hibiscusproxy.protocol.ClaimOutcome
import org.hibiscusproxy.protocol.ClaimRelease
import org.hibiscusproxy.protocol.ClaimRequest
import org.hibiscusproxy.protocol.StoredAnswer
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Claims of non-repeatable calls at the controllers. */
internal class Claims(private val link: ControllerLink, private val scope: CoroutineScope) {
    /**
     * Claims [request] for [attempt]. A claim that nobody answered in time is released in the
     * background, because it may have been recorded and nothing was dispatched under it.
     *
     * @return null when no controller could decide in time
     */
    suspend fun claim(request: CallerRequest, key: ClaimKey, attempt: Attempt): ClaimOutcome? {
        val limit = minOf(request.remaining, CLAIM_LIMIT)
        val answer = link.ask(limit) { number ->
            val remaining = request.remaining.inWholeMilliseconds.coerceAtLeast(0)
            ClaimRequest(number, key, request.fingerprint, attempt, remaining)
        }
        val outcome = (answer as? ClaimAnswer)?.outcome
        if (outcome == null) scope.launch { release(key, attempt, LATE_LIMIT) }
        return outcome
    }

    /** Releases the claim of [attempt], which did not run. Returns whether that is durable. */
    suspend fun release(key: ClaimKey, attempt: Attempt, limit: Duration): Boolean {
        val answer = link.ask(limit) { number -> ClaimRelease(number, key, attempt) }
        return (answer as? ClaimAcknowledgement)?.accepted == true
    }

    /**
     * Records the answer to [attempt] and returns when that is durable. If it takes longer than
     * callers should wait, recording continues in the background.
     */
    suspend fun complete(key: ClaimKey, attempt: Attempt, answer: StoredAnswer) {
        if (tryComplete(key, attempt, answer, COMPLETION_LIMIT)) return
        LOG.warn("entry: answer to {} not recorded yet", attempt)
        scope.launch { tryComplete(key, attempt, answer, LATE_LIMIT) }
    }

    private suspend fun tryComplete(
        key: ClaimKey,
        attempt: Attempt,
        answer: StoredAnswer,
        limit: Duration,
    ): Boolean {
        val reply = link.ask(limit) { number -> ClaimCompletion(number, key, attempt, answer) }
        return (reply as? ClaimAcknowledgement)?.accepted == true
    }

    private companion object {
        val CLAIM_LIMIT = 5.seconds
        val COMPLETION_LIMIT = 5.seconds
        val LATE_LIMIT = 60.seconds
        val LOG: Logger = LoggerFactory.getLogger(Claims::class.java)
    }
}
