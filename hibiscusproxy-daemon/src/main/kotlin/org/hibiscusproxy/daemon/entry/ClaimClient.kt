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

/** Requests, releases and completes claims of non-repeatable calls at the controllers. */
internal class ClaimClient(private val link: ControllerLink, private val scope: CoroutineScope) {
    /**
     * Claims [request] for [attempt]. A claim that was not answered in time is released in the
     * background, because it may have been recorded although nothing was dispatched under it.
     *
     * @return null if no controller decided in time
     */
    suspend fun claim(request: CallerRequest, key: ClaimKey, attempt: Attempt): ClaimOutcome? {
        val timeout = minOf(request.remaining, CLAIM_TIMEOUT)
        val answer = link.request(timeout) { number ->
            val remaining = request.remaining.inWholeMilliseconds.coerceAtLeast(0)
            ClaimRequest(number, key, request.fingerprint, attempt, remaining)
        }
        val outcome = (answer as? ClaimAnswer)?.outcome
        if (outcome == null) scope.launch { release(key, attempt, BACKGROUND_TIMEOUT) }
        return outcome
    }

    /** Releases the claim of [attempt], which did not run. Returns whether this is durable. */
    suspend fun release(key: ClaimKey, attempt: Attempt, timeout: Duration): Boolean {
        val answer = link.request(timeout) { number -> ClaimRelease(number, key, attempt) }
        return (answer as? ClaimAcknowledgement)?.accepted == true
    }

    /**
     * Records the answer to [attempt] and returns when it is durable. If it is not durable within
     * [COMPLETION_TIMEOUT], recording continues in the background and the caller does not wait.
     */
    suspend fun complete(key: ClaimKey, attempt: Attempt, answer: StoredAnswer) {
        if (tryComplete(key, attempt, answer, COMPLETION_TIMEOUT)) return
        LOG.warn("entry: answer to {} not recorded yet, retrying in the background", attempt)
        scope.launch { tryComplete(key, attempt, answer, BACKGROUND_TIMEOUT) }
    }

    private suspend fun tryComplete(
        key: ClaimKey,
        attempt: Attempt,
        answer: StoredAnswer,
        timeout: Duration,
    ): Boolean {
        val reply = link.request(timeout) { number ->
            ClaimCompletion(number, key, attempt, answer)
        }
        return (reply as? ClaimAcknowledgement)?.accepted == true
    }

    private companion object {
        val CLAIM_TIMEOUT = 5.seconds
        val COMPLETION_TIMEOUT = 5.seconds
        val BACKGROUND_TIMEOUT = 60.seconds

        /** Part of each line in the JSON log format, so it stays stable across class renames. */
        const val LOGGER_NAME = "org.hibiscusproxy.daemon.entry.Claims"
        val LOG: Logger = LoggerFactory.getLogger(LOGGER_NAME)
    }
}
