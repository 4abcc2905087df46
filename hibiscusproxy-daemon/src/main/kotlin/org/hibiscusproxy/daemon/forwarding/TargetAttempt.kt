package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.concurrent.ScheduledFuture
import java.nio.charset.StandardCharsets.UTF_8
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import org.hibiscusproxy.forwarding.AttemptResult
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.ForwardingRoute
import org.hibiscusproxy.forwarding.PlacedAttempt
import org.hibiscusproxy.forwarding.PlacementChoice
import org.hibiscusproxy.forwarding.PlacementRequest
import org.hibiscusproxy.forwarding.RequestKind
import org.hibiscusproxy.forwarding.TeamAccess
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TargetName

/**
 * One sending of a request to one target. It decides what of the target's answer reaches the
 * caller; whether another target is tried is up to the [exchange].
 */
internal class TargetAttempt(
    private val exchange: Exchange,
    val target: DiscoveredTarget,
    private val cachedAt: DiscoveredTarget?,
    private val placed: PlacedAttempt,
) : AnswerListener {
    var connection: TargetConnection? = null
        private set
    private var isOver = false
    private var answerStatus = 0
    private var isPassedOver = false
    private var isReportedNotRun = false
    private var heldHead: HttpResponse? = null
    private var heldBody: ByteBuf? = null

    /** Whether no byte of the request left for the target. */
    var wasNeverSent = true
        private set

    fun connected(opened: TargetConnection?) {
        if (isOver) {
            opened?.cancel()
        } else if (opened == null) {
            over(AttemptResult.UNREACHABLE)
            exchange.attemptEnded(
                this,
                FinalReason.TARGET_UNREACHABLE,
                "no connection",
                isNotRun = true,
            )
        } else {
            send(opened)
        }
    }

    fun send(opened: TargetConnection) {
        connection = opened
        wasNeverSent = false
        opened.send(targetRequest(), exchange.call.requestIdentifier, this)
    }

    fun cancel(result: AttemptResult) {
        over(result)
        connection?.cancel()
    }

    private fun over(result: AttemptResult) {
        isOver = true
        if (result != AttemptResult.ANSWERED) dropHeld()
        exchange.node.selector.end(placed, result)
    }

    private fun dropHeld() {
        heldBody?.release()
        heldBody = null
    }

    private fun targetRequest(): DefaultFullHttpRequest {
        val headers = DefaultHttpHeaders()
        headers.set(exchange.head.headers())
        val isEngine = exchange.call.prompt != null
        exchange.node.wire.writeTargetHeaders(
            headers,
            TargetRequestHeaders(
                target.name,
                exchange.team?.name,
                exchange.remaining.inWholeMilliseconds.coerceAtLeast(1),
                urgency().takeIf { isEngine },
                exchange.events?.lastIdentifier ?: exchange.call.lastEventIdentifier,
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
        return (URGENCY_OF_FIRST + priority).coerceIn(0, LEAST_URGENT)
    }

    override fun onHead(response: HttpResponse, metadata: ResponseMetadata) {
        answerStatus = response.status().code()
        metadata.coldDuration?.let { exchange.node.selector.reportedCold(target.name, it) }
        if (metadata.execution != ExecutionStatus.MAY_HAVE_RUN) {
            isPassedOver = true
            isReportedNotRun = true
            return
        }
        val isSuccess = answerStatus in SUCCESS
        if (isSuccess &&
            (!metadata.isSigned || metadata.isCompressed)
        ) {
            return invalid("unsigned answer")
        }
        exchange.node.selector.answered(placed)
        if (exchange.isHeadSent) {
            if (!isSuccess) invalid("resume answered $answerStatus")
            return
        }
        if (answerStatus >= SERVER_FAILURE && exchange.mayTryAgain()) {
            isPassedOver = true
            return
        }
        if (isSuccess && mayHold(response)) {
            heldHead = response
            heldBody = Unpooled.buffer()
            return
        }
        exchange.passHead(response)
    }

    /** A short answer is buffered until it is complete, so that a truncated one can be retried. */
    private fun mayHold(response: HttpResponse): Boolean =
        exchange.route?.kind == RequestKind.SAFE &&
            HttpUtil.getContentLength(response, Long.MAX_VALUE) <= HELD_BYTES

    private fun invalid(reason: String) {
        connection?.cancel()
        onBroken(reason)
    }

    override fun onContent(content: HttpContent) {
        if (isPassedOver || isOver) return
        heldBody?.let {
            it.writeBytes(content.content())
            return
        }
        val splitter = exchange.events
        val bytes = splitter?.take(content.content()) ?: content.content().retain()
        if (bytes.isReadable) exchange.caller.writeContent(bytes) else bytes.release()
        if (!exchange.caller.isWritable) connection?.setReading(false)
    }

    override fun onEnd() {
        if (isOver) return
        if (isPassedOver) {
            over(if (isReportedNotRun) AttemptResult.INCONCLUSIVE else AttemptResult.FAILED)
            val reason = if (isReportedNotRun) {
                FinalReason.TARGET_REFUSED
            } else {
                FinalReason.TARGET_FAILED
            }
            return exchange.attemptEnded(this, reason, "answered $answerStatus", isReportedNotRun)
        }
        if (exchange.events?.hasPartial == true) return onBroken("unfinished event")
        val isFailure = answerStatus >= SERVER_FAILURE
        over(if (isFailure) AttemptResult.FAILED else AttemptResult.ANSWERED)
        heldHead?.let(exchange::passHead)
        heldBody?.let(exchange.caller::writeContent)
        heldBody = null
        exchange.answered()
    }

    override fun onBroken(cause: String) {
        if (isOver) return
        over(AttemptResult.BROKEN)
        exchange.attemptEnded(this, FinalReason.TARGET_LOST, cause, isReportedNotRun)
    }

    private companion object {
        val SUCCESS = 200..299
        const val SERVER_FAILURE = 500

        /** Answers of plain services are smaller; longer ones are passed on as they come. */
        const val HELD_BYTES = 65_536L

        /** Leaves two more urgent ranks for later use. */
        const val URGENCY_OF_FIRST = 2
        const val LEAST_URGENT = 9
    }
}
