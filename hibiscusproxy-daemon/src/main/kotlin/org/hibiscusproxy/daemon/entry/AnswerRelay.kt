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

/** How much of an answer the entry holds back before it relays. */
internal enum class Holding(val bytes: Int) {
    /** Streams are relayed from the first chunk. */
    NOTHING(0),

    /** Whole bodies are held up to a bound, so that a broken one can be replaced. */
    SHORT_ANSWERS(262_144),

    /** Answers to claimed calls are recorded before the caller gets them. */
    EVERYTHING(4_194_304),
}

/**
 * Takes the messages of one attempt and relays them to the caller without blocking. Chunks are
 * checked against their index: one that came before is dropped, a gap breaks the answer.
 *
 * The relay's monitor guards its state; the response's monitor may be taken under it. The
 * outcome is completed with or without the monitor, so that Jetty's callbacks never wait for it.
 */
internal class AnswerRelay(
    val attempt: Attempt,
    private val response: CallerResponse,
    private val holding: Holding,
) {
    private var head: ResponseHead? = null
    private var nextIndex = 0
    private val held = ByteArrayOutputStream()
    private var isRelaying = false

    /** How the attempt ended. */
    val outcome: CompletableDeferred<AttemptOutcome> = CompletableDeferred()

    /** Takes [message], which is about this attempt. Returns false when it was dropped. */
    @Synchronized
    fun take(message: DataMessage): Boolean {
        if (outcome.isCompleted) return false
        return when (message) {
            is ResponseHead -> takeHead(message)
            is ResponseChunk -> takeChunk(message)
            is ResponseEnd -> finish(endOutcome(message))
            is ResponseBroken -> finish(AttemptOutcome.Broken(message.reason))
            is NotRun -> finish(notRunOutcome(message))
            else -> false
        }
    }

    /** The connection to the sidecar ended. */
    fun connectionLost() {
        finish(AttemptOutcome.Broken(BrokenReason.TARGET_LOST))
    }

    /** The entry itself ends the attempt with [result]; later messages are dropped. */
    fun stop(result: AttemptOutcome) {
        finish(result)
    }

    private fun takeHead(message: ResponseHead): Boolean {
        if (head != null) return false
        head = message
        return true
    }

    private fun takeChunk(message: ResponseChunk): Boolean {
        if (message.index < nextIndex) return false
        val head = head
        if (head == null || message.index > nextIndex) {
            return finish(AttemptOutcome.Broken(BrokenReason.TARGET_LOST))
        }
        nextIndex++
        val bytes = message.body.bytes
        if (!isRelaying && held.size() + bytes.size <= holding.bytes) {
            held.write(bytes)
            return true
        }
        if (holding == Holding.EVERYTHING) return finish(AttemptOutcome.TooLong)
        if (!isRelaying) startRelaying(head)
        return relay(bytes)
    }

    private fun startRelaying(head: ResponseHead) {
        isRelaying = true
        response.begin(head.status, head.headers)
        if (held.size() > 0) relay(held.toByteArray())
        held.reset()
    }

    private fun relay(bytes: ByteArray): Boolean = when (response.write(bytes)) {
        CallerResponse.Accepted.YES -> true

        CallerResponse.Accepted.SLOW_READER ->
            finish(AttemptOutcome.Broken(BrokenReason.SLOW_READER))

        CallerResponse.Accepted.GONE -> finish(AttemptOutcome.CallerGone)
    }

    private fun endOutcome(message: ResponseEnd): AttemptOutcome {
        val head = head
        return when {
            head == null || message.chunks != nextIndex ->
                AttemptOutcome.Broken(BrokenReason.TARGET_LOST)

            isRelaying -> AttemptOutcome.Complete(head.status, held = null)

            else -> AttemptOutcome.Complete(head.status, stored(head))
        }
    }

    /** "Not run" after a head contradicts itself and counts as broken. */
    private fun notRunOutcome(message: NotRun): AttemptOutcome = when (head) {
        null -> AttemptOutcome.NotRun(
            message.reason,
            message.retryAfterMilliseconds.milliseconds,
            message.servedBy,
        )

        else -> AttemptOutcome.Broken(BrokenReason.TARGET_LOST)
    }

    private fun stored(head: ResponseHead): StoredAnswer =
        StoredAnswer(head.status, head.headers.withoutLength(), Payload(held.toByteArray()))

    private fun List<Header>.withoutLength(): List<Header> =
        filterNot { it.name.equals("Content-Length", ignoreCase = true) }

    private fun finish(result: AttemptOutcome): Boolean = outcome.complete(result)
}
