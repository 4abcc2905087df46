package org.hibiscusproxy.daemon.entry

import java.io.ByteArrayOutputStream
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CompletableDeferred
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.BrokenReason
import org.hibiscusproxy.protocol.DataMessage
import org.hibiscusproxy.protocol.Header
import org.hibiscusproxy.protocol.NotRun
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.ResponseBroken
import org.hibiscusproxy.protocol.ResponseChunk
import org.hibiscusproxy.protocol.ResponseEnd
import org.hibiscusproxy.protocol.ResponseHead
import org.hibiscusproxy.protocol.StoredAnswer

/** How many bytes of an answer the entry buffers before it starts relaying. */
internal enum class AnswerBuffering(val maximumBytes: Int) {
    /** Streams: relayed from the first chunk. */
    NONE(0),

    /** Unstreamed answers: buffered up to the limit, so that a broken attempt can be retried. */
    SHORT_ANSWERS(262_144),

    /** Claimed calls: the complete answer is recorded before it is sent to the caller. */
    FULL_ANSWERS(4_194_304),
}

/**
 * Relays the messages of one attempt to the caller without blocking. A chunk whose index was
 * received before is dropped; a gap in the indexes breaks the answer.
 *
 * The relay's monitor guards its state; the response's monitor may be acquired while it is held.
 * [outcome] may be completed without the monitor, so that Jetty's callbacks never block on it.
 */
internal class AnswerRelay(
    val attempt: Attempt,
    private val response: CallerResponse,
    private val buffering: AnswerBuffering,
) {
    private var head: ResponseHead? = null
    private var nextIndex = 0
    private val buffered = ByteArrayOutputStream()
    private var isRelaying = false

    /** How the attempt ended. */
    val outcome: CompletableDeferred<AttemptOutcome> = CompletableDeferred()

    /** Processes [message], which belongs to this attempt. Returns false if it was dropped. */
    @Synchronized
    fun receive(message: DataMessage): Boolean {
        if (outcome.isCompleted) return false
        return when (message) {
            is ResponseHead -> receiveHead(message)
            is ResponseChunk -> receiveChunk(message)
            is ResponseEnd -> finish(endOutcome(message))
            is ResponseBroken -> finish(AttemptOutcome.Broken(message.reason))
            is NotRun -> finish(notRunOutcome(message))
            else -> false
        }
    }

    /** Breaks the attempt because the connection to the sidecar was closed. */
    fun onConnectionLost() {
        finish(AttemptOutcome.Broken(BrokenReason.TARGET_LOST))
    }

    /** Ends the attempt with [result] on behalf of the entry; later messages are dropped. */
    fun stop(result: AttemptOutcome) {
        finish(result)
    }

    private fun receiveHead(message: ResponseHead): Boolean {
        if (head != null) return false
        head = message
        return true
    }

    private fun receiveChunk(message: ResponseChunk): Boolean {
        if (message.index < nextIndex) return false
        val head = head
        if (head == null || message.index > nextIndex) {
            return finish(AttemptOutcome.Broken(BrokenReason.TARGET_LOST))
        }
        nextIndex++
        val bytes = message.body.bytes
        if (!isRelaying && buffered.size() + bytes.size <= buffering.maximumBytes) {
            buffered.write(bytes)
            return true
        }
        if (buffering == AnswerBuffering.FULL_ANSWERS) return finish(AttemptOutcome.AnswerTooLong)
        if (!isRelaying) startRelaying(head)
        return relay(bytes)
    }

    private fun startRelaying(head: ResponseHead) {
        isRelaying = true
        response.begin(head.status, head.headers)
        if (buffered.size() > 0) relay(buffered.toByteArray())
        buffered.reset()
    }

    private fun relay(bytes: ByteArray): Boolean = when (response.write(bytes)) {
        CallerResponse.WriteResult.ACCEPTED -> true

        CallerResponse.WriteResult.SLOW_READER ->
            finish(AttemptOutcome.Broken(BrokenReason.SLOW_READER))

        CallerResponse.WriteResult.DISCONNECTED -> finish(AttemptOutcome.CallerDisconnected)
    }

    private fun endOutcome(message: ResponseEnd): AttemptOutcome {
        val head = head
        return when {
            head == null || message.chunks != nextIndex ->
                AttemptOutcome.Broken(BrokenReason.TARGET_LOST)

            isRelaying -> AttemptOutcome.Complete(head.status, buffered = null)

            else -> AttemptOutcome.Complete(head.status, toStoredAnswer(head))
        }
    }

    /** A [NotRun] after a response head is contradictory and counts as a broken attempt. */
    private fun notRunOutcome(message: NotRun): AttemptOutcome = when (head) {
        null -> AttemptOutcome.NotRun(
            message.reason,
            message.retryAfterMilliseconds.milliseconds,
            message.servedBy,
        )

        else -> AttemptOutcome.Broken(BrokenReason.TARGET_LOST)
    }

    private fun toStoredAnswer(head: ResponseHead): StoredAnswer =
        StoredAnswer(head.status, head.headers.withoutLength(), Payload(buffered.toByteArray()))

    private fun List<Header>.withoutLength(): List<Header> =
        filterNot { it.name.equals("Content-Length", ignoreCase = true) }

    private fun finish(result: AttemptOutcome): Boolean = outcome.complete(result)
}
