package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import java.io.IOException
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.daemon.EventBoundary
import org.hibiscusproxy.forwarding.AttemptResult
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.PlacedAttempt
import org.hibiscusproxy.forwarding.RequestKind

/**
 * One attempt to have a target execute a request. It decides which parts of the target's response
 * are forwarded to the caller; the [exchange] decides whether another target is tried.
 */
internal class TargetAttempt(
    private val exchange: Exchange,
    val target: DiscoveredTarget,
    private val cachedAt: DiscoveredTarget?,
    private val placed: PlacedAttempt,
) : ResponseListener {
    var connection: TargetConnection? = null
        private set
    private var isFinished = false
    private var responseStatus = 0
    private var isDiscarded = false
    private var discardedBytes = 0L
    private var isReportedNotExecuted = false
    private val startedAt = exchange.node.time.markNow()
    private var sentAt: ComparableTimeMark? = null
    private val evidence = AttemptEvidence(exchange, target)
    private val versionRecord = VersionRecord(exchange, target, placed)

    /** What marks the end of the target's answer; null until its head has arrived. */
    var framing: AnswerFraming? = null
        private set
    private var isEventStream = false
    private val boundary = EventBoundary()
    private var bufferedHead: HttpResponse? = null
    private var bufferedBody: ByteBuf? = null

    /** Whether the target has begun to answer. */
    val hasAnswered: Boolean get() = evidence.answeredAt != null

    /** What the attempt tells of its target if another one's answer is used. */
    val resultIfDropped: AttemptResult
        get() = sentAt.let {
            val isSilent = it != null && !hasAnswered && it.elapsedNow() > UNRESPONSIVE_AFTER
            if (isSilent) AttemptResult.TIMED_OUT else AttemptResult.INCONCLUSIVE
        }

    /** Whether nothing of the request was written to a connection. */
    val wasNotSent: Boolean get() = sentAt == null

    /** How far the attempt got. */
    val progress: AttemptProgress
        get() {
            evidence.answeredAt?.let { return AttemptProgress.Answering(it.elapsedNow()) }
            sentAt?.let { return AttemptProgress.Waiting(it.elapsedNow()) }
            return AttemptProgress.Connecting(startedAt.elapsedNow())
        }

    fun onConnected(result: ConnectResult) = when (result) {
        // A close of the caller that was read in the same turn of the loop cancels the attempt first.
        is ConnectResult.Connected ->
            exchange.node.loop.execute { exchange.guard { onConnected(result.connection) } }

        is ConnectResult.Failed -> exchange.guard { onConnectFailed(result.cause) }
    }

    private fun onConnected(newConnection: TargetConnection) {
        if (isFinished) {
            newConnection.cancel()
        } else if (!newConnection.isOpen) {
            onConnectFailed(IOException("the connection was closed before it carried a request"))
        } else if (!exchange.remaining.isPositive()) {
            // The process may have stood still while the connection was established.
            newConnection.cancel()
            finish(AttemptResult.INCONCLUSIVE)
            exchange.onAttemptFailed(
                this,
                FinalReason.TIMEOUT,
                "the deadline has passed",
                isNotExecuted = true,
            )
        } else if (exchange.refusalTime() != null) {
            newConnection.cancel()
            finish(AttemptResult.INCONCLUSIVE)
            exchange.onAttemptFailed(
                this,
                FinalReason.CRASHES_TARGETS,
                "the request crashes targets",
                isNotExecuted = true,
            )
        } else if (!exchange.node.selector.takesRequests(target.name)) {
            newConnection.cancel()
            finish(AttemptResult.INCONCLUSIVE)
            exchange.onAttemptFailed(
                this,
                FinalReason.TARGET_REFUSED,
                "the target takes no requests any more",
                isNotExecuted = true,
            )
        } else {
            send(newConnection)
        }
    }

    private fun onConnectFailed(cause: Throwable) {
        if (isFinished) return
        finish(AttemptResult.UNREACHABLE)
        exchange.onAttemptFailed(
            this,
            FinalReason.TARGET_UNREACHABLE,
            "connection could not be established: ${cause.message}",
            isNotExecuted = true,
        )
    }

    fun send(newConnection: TargetConnection) {
        connection = newConnection
        val request = TargetRequestFactory(exchange).create(target, cachedAt)
        sentAt = exchange.node.time.markNow()
        versionRecord.recordSent()
        val listener = GuardedListener(exchange, this)
        newConnection.send(request, exchange.metadata.requestIdentifier, listener)
        exchange.node.stalls.onSent(target)
    }

    fun cancel(result: AttemptResult) {
        if (!isFinished) finish(result)
        connection?.cancel()
    }

    /** Records that the time of the caller, [timeout] in all, has passed. */
    fun recordTimeout(timeout: Duration) {
        if (!isFinished && !isReportedNotExecuted) versionRecord.recordTimeout(timeout)
    }

    /** Pauses or resumes reading the answer; paused while the caller reads slowly. */
    fun setReading(isReading: Boolean) {
        if (!isReading) versionRecord.recordSlowCaller()
        connection?.setReading(isReading)
    }

    private fun finish(result: AttemptResult) {
        isFinished = true
        if (result != AttemptResult.ANSWERED) releaseBuffer()
        exchange.node.selector.end(placed, result)
    }

    private fun recordFirstPart() {
        val route = exchange.route?.takeIf { it.isRepeatable } ?: return
        sentAt?.let { exchange.node.hedging.recordFirstPart(route.name, it.elapsedNow()) }
    }

    private fun releaseBuffer() {
        bufferedBody?.release()
        bufferedBody = null
    }

    override fun onHead(response: HttpResponse, metadata: ResponseMetadata) {
        responseStatus = response.status().code()
        val isLeaving = TargetStatements(
            exchange.node,
            target.name,
        ).record(metadata, responseStatus)
        if (isLeaving) connection?.closeAfterResponse()
        if (metadata.execution != ExecutionStatus.MAY_HAVE_RUN) {
            isDiscarded = true
            isReportedNotExecuted = true
            return
        }
        val isSuccess = responseStatus in SUCCESS_STATUSES
        if (isSuccess &&
            (!metadata.isSigned || metadata.isCompressed)
        ) {
            return rejectInvalid("response is not signed or is compressed")
        }
        evidence.recordAnswer()
        framing = AnswerFraming.of(response)
        isEventStream = isEventStream(response)
        exchange.node.selector.recordFirstPart(placed)
        recordFirstPart()
        if (exchange.isHeadSent) {
            if (!isSuccess) rejectInvalid("stream resumption failed with status $responseStatus")
            return
        }
        if (responseStatus >= SERVER_ERROR && exchange.canRetry()) {
            isDiscarded = true
            return
        }
        exchange.selectAnswer(this)
        if (isSuccess && isBufferable(response)) {
            bufferedHead = response
            bufferedBody = Unpooled.buffer()
            return
        }
        exchange.forwardHead(response)
    }

    /** Short responses are buffered until complete, so that a truncated one can be retried. */
    private fun isBufferable(response: HttpResponse): Boolean =
        exchange.route?.kind == RequestKind.SAFE &&
            HttpUtil.getContentLength(response, Long.MAX_VALUE) <= MAXIMUM_BUFFERED_BYTES

    private fun rejectInvalid(reason: String) {
        connection?.cancel()
        fail(reason)
    }

    override fun onContent(content: HttpContent) {
        if (isFinished) return
        if (isDiscarded) return discard(content.content())
        if (!evidence.isStartOfAnswer) recordSurvival()
        if (isEventStream) followEvents(content.content())
        bufferedBody?.let {
            it.writeBytes(content.content())
            return
        }
        val splitter = exchange.events
        val bytes = splitter?.append(content.content()) ?: content.content().retain()
        if (splitter != null && bytes.isReadable) exchange.onEventsForwarded(target)
        exchange.forwardContent(bytes)
        if (splitter?.isEventTooLong == true) {
            return rejectInvalid("event exceeds ${EventSplitter.MAXIMUM_EVENT_BYTES} bytes")
        }
        if (!exchange.caller.isWritable) setReading(false)
    }

    /** Skips [bytes] of an answer that is not forwarded; a long one is not read to its end. */
    private fun discard(bytes: ByteBuf) {
        discardedBytes += bytes.readableBytes()
        if (discardedBytes <= MAXIMUM_DISCARDED_BYTES) return
        connection?.cancel()
        onEnd()
    }

    override fun onEnd() {
        if (isFinished) return
        if (isDiscarded) {
            if (!isReportedNotExecuted) versionRecord.recordFailure()
            finish(if (isReportedNotExecuted) AttemptResult.INCONCLUSIVE else AttemptResult.FAILED)
            val reason = if (isReportedNotExecuted) {
                FinalReason.TARGET_REFUSED
            } else {
                FinalReason.TARGET_FAILED
            }
            return exchange.onAttemptFailed(
                this,
                reason,
                "response status $responseStatus",
                isReportedNotExecuted,
            )
        }
        if (isStreamInterrupted()) return onFailure("stream ended within an event")
        if (framing == AnswerFraming.CONNECTION && evidence.isStartOfAnswer) {
            evidence.checkForCrash()
        } else {
            recordSurvival()
        }
        val isServerError = responseStatus >= SERVER_ERROR
        if (isServerError) {
            versionRecord.recordFailure()
        } else {
            versionRecord.recordAnswer(isEventStream)
        }
        finish(if (isServerError) AttemptResult.FAILED else AttemptResult.ANSWERED)
        bufferedHead?.let(exchange::forwardHead)
        bufferedBody?.let(exchange::forwardContent)
        bufferedBody = null
        exchange.onResponseComplete(this)
    }

    private fun isEventStream(response: HttpResponse): Boolean {
        val type = response.headers().get(HttpHeaderNames.CONTENT_TYPE).orEmpty()
        val isStream = exchange.route?.kind == RequestKind.STREAMING
        return type.startsWith(EVENT_STREAM, ignoreCase = true) ||
            isStream && responseStatus in SUCCESS_STATUSES
    }

    private fun followEvents(bytes: ByteBuf) {
        bytes.forEachByte {
            boundary.append(it)
            true
        }
        versionRecord.recordEvents(boundary.events)
    }

    private fun isStreamInterrupted(): Boolean {
        if (!isEventStream) return false
        if (boundary.isWithinEvent) return true
        // The end of its connection does not tell a stream without events from a target that ended.
        val isSuccess = responseStatus in SUCCESS_STATUSES
        return isSuccess && framing == AnswerFraming.CONNECTION && !boundary.hasEvent
    }

    override fun onFailure(cause: String) {
        if (isFinished) return
        evidence.checkForCrash()
        fail(cause)
    }

    /** The target has not closed the connection, so nothing tells that it crashed. */
    override fun onRejected(cause: String) = fail(cause)

    private fun fail(cause: String) {
        if (isFinished) return
        if (!isReportedNotExecuted) versionRecord.recordFailure()
        finish(AttemptResult.CONNECTION_BROKEN)
        exchange.onAttemptFailed(this, FinalReason.TARGET_LOST, cause, isReportedNotExecuted)
    }

    private fun recordSurvival() {
        if (responseStatus in SUCCESS_STATUSES) evidence.recordSurvival()
    }

    private companion object {
        val SUCCESS_STATUSES = 200..299
        const val SERVER_ERROR = 500

        /** Many times the usual time until an answer begins. */
        val UNRESPONSIVE_AFTER = 1_000.milliseconds
        const val EVENT_STREAM = "text/event-stream"

        /** Responses of plain services are smaller; longer responses are streamed. */
        const val MAXIMUM_BUFFERED_BYTES = 65_536L

        /** Reading a longer answer costs more than a new connection. */
        const val MAXIMUM_DISCARDED_BYTES = 65_536L
    }
}
