package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlin.time.ComparableTimeMark
import org.hibiscusproxy.daemon.EventBoundary
import org.hibiscusproxy.forwarding.AttemptResult
import org.hibiscusproxy.forwarding.CrashAnalysis
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.PlacedAttempt
import org.hibiscusproxy.forwarding.RequestKind
import org.hibiscusproxy.forwarding.StatedPause
import org.hibiscusproxy.forwarding.StatedRate

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
    private var isReportedNotExecuted = false
    private val startedAt = exchange.node.time.markNow()
    private var sentAt: ComparableTimeMark? = null
    private var answeredAt: ComparableTimeMark? = null

    /** What marks the end of the target's answer; null until its head has arrived. */
    var framing: AnswerFraming? = null
        private set
    private var isEventStream = false
    private val boundary = EventBoundary()
    private var hasSurvived = false
    private var bufferedHead: HttpResponse? = null
    private var bufferedBody: ByteBuf? = null

    /** Whether nothing of the request was written to a connection. */
    val wasNotSent: Boolean get() = sentAt == null

    /** How far the attempt got. */
    val progress: AttemptProgress
        get() {
            answeredAt?.let { return AttemptProgress.Answering(it.elapsedNow()) }
            sentAt?.let { return AttemptProgress.Waiting(it.elapsedNow()) }
            return AttemptProgress.Connecting(startedAt.elapsedNow())
        }

    fun onConnected(result: ConnectResult) = when (result) {
        // A close of the caller that was read in the same turn of the loop cancels the attempt first.
        is ConnectResult.Connected -> exchange.node.loop.execute { onConnected(result.connection) }

        is ConnectResult.Failed -> onConnectFailed(result.cause)
    }

    private fun onConnected(newConnection: TargetConnection) {
        if (isFinished) {
            newConnection.cancel()
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
                "the target stated that it takes no requests",
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
        sentAt = exchange.node.time.markNow()
        newConnection.send(targetRequest(), exchange.metadata.requestIdentifier, this)
    }

    fun cancel(result: AttemptResult) {
        finish(result)
        connection?.cancel()
    }

    private fun finish(result: AttemptResult) {
        isFinished = true
        if (result != AttemptResult.ANSWERED) releaseBuffer()
        exchange.node.selector.end(placed, result)
    }

    private fun releaseBuffer() {
        bufferedBody?.release()
        bufferedBody = null
    }

    private fun targetRequest(): DefaultFullHttpRequest {
        val headers = DefaultHttpHeaders()
        headers.set(exchange.head.headers())
        val isEngine = exchange.metadata.prompt != null
        exchange.node.wire.writeTargetHeaders(
            headers,
            TargetRequestHeaders(
                target.name,
                exchange.team?.name,
                exchange.remaining.inWholeMilliseconds.coerceAtLeast(1),
                urgency().takeIf { isEngine },
                exchange.events?.lastIdentifier ?: exchange.metadata.lastEventIdentifier,
                cachedAt?.address,
            ),
        )
        val hasBody = exchange.body.isReadable ||
            exchange.head.headers().contains(HttpHeaderNames.CONTENT_LENGTH) ||
            exchange.head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
        if (hasBody) headers.set(HttpHeaderNames.CONTENT_LENGTH, exchange.body.readableBytes())
        return DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            exchange.head.method(),
            exchange.head.uri(),
            exchange.body.retainedDuplicate(),
            headers,
            DefaultHttpHeaders(),
        )
    }

    private fun urgency(): Int {
        val priority = exchange.team?.priority ?: exchange.route?.priority ?: 0
        return (HIGHEST_PRIORITY_URGENCY + priority).coerceIn(0, LOWEST_URGENCY)
    }

    override fun onHead(response: HttpResponse, metadata: ResponseMetadata) {
        responseStatus = response.status().code()
        metadata.coldDuration?.let { exchange.node.selector.markCold(target.name, it) }
        if (metadata.execution != ExecutionStatus.OTHER_TARGET) {
            recordStatedRate(metadata)
            recordAcceptance(metadata)
        }
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
        answeredAt = exchange.node.time.markNow()
        framing = AnswerFraming.of(response)
        isEventStream = isEventStream(response)
        exchange.node.selector.recordFirstPart(placed)
        if (exchange.isHeadSent) {
            if (!isSuccess) rejectInvalid("stream resumption failed with status $responseStatus")
            return
        }
        if (responseStatus >= SERVER_ERROR && exchange.canRetry()) {
            isDiscarded = true
            return
        }
        if (isSuccess && isBufferable(response)) {
            bufferedHead = response
            bufferedBody = Unpooled.buffer()
            return
        }
        exchange.forwardHead(response)
    }

    private fun recordAcceptance(metadata: ResponseMetadata) {
        val selector = exchange.node.selector
        when (val pause = metadata.statedPause) {
            is StatedPause.None -> Unit

            is StatedPause.Lasting -> selector.recordPause(target.name, pause.duration)

            is StatedPause.Unreadable -> exchange.node.log.unreadablePause(target.name.value)
        }
        if (!metadata.isLeaving) return
        connection?.closeAfterResponse()
        exchange.node.pool.closeIdle(target.name)
        if (selector.recordLeaving(target.name)) {
            exchange.node.log.statedLeaving(target.name.value)
        }
    }

    /** Only a valid answer withdraws a rate; failures may come without the target's headers. */
    private fun recordStatedRate(metadata: ResponseMetadata) {
        val rate = metadata.statedRate
        val isValid = metadata.isSigned && responseStatus in SUCCESS_STATUSES
        if (rate is StatedRate.Unlimited && !isValid) return
        if (exchange.node.selector.recordStatedRate(target.name, rate)) {
            exchange.node.log.statedRateChanged(target.name.value, rate)
        }
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
        if (isDiscarded || isFinished) return
        if (!isStartOfAnswer) recordSurvival()
        if (isEventStream) followEvents(content.content())
        bufferedBody?.let {
            it.writeBytes(content.content())
            return
        }
        val splitter = exchange.events
        val bytes = splitter?.append(content.content()) ?: content.content().retain()
        if (splitter != null && bytes.isReadable) exchange.onEventsForwarded(target)
        if (bytes.isReadable) exchange.caller.writeContent(bytes) else bytes.release()
        if (!exchange.caller.isWritable) connection?.setReading(false)
    }

    override fun onEnd() {
        if (isFinished) return
        if (isDiscarded) {
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
        if (framing == AnswerFraming.CONNECTION &&
            isStartOfAnswer
        ) {
            checkForCrash()
        } else {
            recordSurvival()
        }
        val isServerError = responseStatus >= SERVER_ERROR
        finish(if (isServerError) AttemptResult.FAILED else AttemptResult.ANSWERED)
        bufferedHead?.let(exchange::forwardHead)
        bufferedBody?.let(exchange.caller::writeContent)
        bufferedBody = null
        exchange.onResponseComplete()
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
        checkForCrash()
        fail(cause)
    }

    private fun fail(cause: String) {
        if (isFinished) return
        finish(AttemptResult.CONNECTION_BROKEN)
        exchange.onAttemptFailed(this, FinalReason.TARGET_LOST, cause, isReportedNotExecuted)
    }

    /** Whether the answer began so recently that a crash of the target may be due to it. */
    private val isStartOfAnswer: Boolean
        get() = answeredAt.let { it == null || it.elapsedNow() < CrashAnalysis.ANSWER_START }

    private fun checkForCrash() {
        if (!isStartOfAnswer) return
        val suspects = exchange.fingerprints
        // Parts of prompts crash a target when it begins to answer, not while a request waits.
        val isAnswered = answeredAt != null
        val fingerprints = if (isAnswered) suspects.all else setOf(suspects.request)
        exchange.node.crashDetector.onConnectionLost(target, fingerprints)
    }

    private fun recordSurvival() {
        val begunAt = answeredAt ?: return
        if (hasSurvived || responseStatus !in SUCCESS_STATUSES) return
        hasSurvived = true
        val observer = exchange.node.crashes
        observer.recordSurvivedAnswer(exchange.fingerprints.parts, begunAt)
        if (observer.hasSuspects) {
            observer.recordSurvivedAnswer(setOf(exchange.fingerprints.request), begunAt)
        }
    }

    private companion object {
        val SUCCESS_STATUSES = 200..299
        const val SERVER_ERROR = 500
        const val EVENT_STREAM = "text/event-stream"

        /** Responses of plain services are smaller; longer responses are streamed. */
        const val MAXIMUM_BUFFERED_BYTES = 65_536L

        /** Reserves the ranks 0 and 1 for future use. */
        const val HIGHEST_PRIORITY_URGENCY = 2
        const val LOWEST_URGENCY = 9
    }
}
