package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.forwarding.CallerLimits

/**
 * One connection of a caller. It collects a whole request, hands it to an [Exchange], and passes
 * the answer on; further requests that arrive meanwhile wait for their turn.
 */
internal class CallerConnection(
    private val node: ForwardingNode,
    private val onClosed: (CallerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private val waiting = ArrayDeque<HttpObject>()
    private var head: HttpRequest? = null
    private var body: ByteBuf? = null
    private var exchange: Exchange? = null
    private var isDiscarding = false
    private var keepsOpen = true
    private var lastProgress: ComparableTimeMark = node.time.markNow()
    private var idleTimer: ScheduledFuture<*>? = null

    /** Whether no request is in progress or being received. */
    val isIdle: Boolean get() = exchange == null && head == null && waiting.isEmpty()

    private val limits: CallerLimits get() = node.routes?.configuration?.limits ?: CallerLimits()

    override fun channelActive(context: ChannelHandlerContext) {
        channel = context.channel()
        lastProgress = node.time.markNow()
        scheduleIdleCheck()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject) {
            ReferenceCountUtil.release(message)
            return
        }
        if (exchange != null || waiting.isNotEmpty()) {
            waiting.addLast(message)
            if (waiting.size > MAXIMUM_WAITING) channel.close()
        } else {
            read(message)
        }
    }

    private fun read(message: HttpObject) {
        try {
            lastProgress = node.time.markNow()
            when {
                isDiscarding -> Unit
                message.decoderResult().isFailure -> refuseUnreadable(message)
                else -> accept(message)
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun accept(message: HttpObject) {
        if (message is HttpRequest) {
            head = message
            body = Unpooled.buffer()
            keepsOpen = HttpUtil.isKeepAlive(message)
            if (HttpUtil.is100ContinueExpected(message)) {
                channel.writeAndFlush(
                    DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE),
                )
            }
        }
        if (message is HttpContent) {
            val collected = body ?: return
            collected.writeBytes(message.content())
            if (collected.readableBytes() > limits.bodyBytes) {
                return refuseConnection(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            }
            if (message is LastHttpContent) startExchange()
        }
    }

    private fun startExchange() {
        val request = checkNotNull(head) { "a body without a head" }
        val bytes = body ?: Unpooled.EMPTY_BUFFER
        head = null
        body = null
        val next = Exchange(node, this, request, bytes)
        exchange = next
        node.exchanges += 1
        next.start()
    }

    private fun refuseUnreadable(message: HttpObject) {
        val cause = message.decoderResult().cause()
        val isTooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        val status = if (isTooLong) {
            HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        } else {
            HttpResponseStatus.BAD_REQUEST
        }
        refuseConnection(status)
    }

    /** Answers a request that was not read whole, and ends the connection. */
    private fun refuseConnection(status: HttpResponseStatus) {
        isDiscarding = true
        head = null
        body?.release()
        body = null
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    /** Whether the caller takes bytes as fast as they come. */
    val isWritable: Boolean get() = channel.isWritable

    /** Sends the head of a streamed answer. */
    fun writeHead(response: HttpResponse) {
        val copy = DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status())
        copy.headers().set(response.headers())
        node.wire.removeConnectionHeaders(copy.headers())
        val hasLength = copy.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        if (!hasLength && response.status().code() !in BODILESS) {
            HttpUtil.setTransferEncodingChunked(copy, true)
        }
        markClosing(copy)
        channel.writeAndFlush(copy)
    }

    /** Sends [bytes] of the body and takes ownership of them. */
    fun writeContent(bytes: ByteBuf) {
        channel.writeAndFlush(DefaultHttpContent(bytes))
    }

    /** Ends a streamed answer as complete. */
    fun finish() {
        val written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        // The head may have gone out before the entry began to drain.
        if (node.isDraining) keepsOpen = false
        endExchange()
        if (!keepsOpen) written.addListener(ChannelFutureListener.CLOSE) else nextRequest()
    }

    /** Sends a whole answer of the entry's own. */
    fun answer(response: DefaultFullHttpResponse) {
        markClosing(response)
        val written = channel.writeAndFlush(response)
        endExchange()
        if (!keepsOpen) written.addListener(ChannelFutureListener.CLOSE) else nextRequest()
    }

    /** Closes the connection in the middle of an answer, so that it does not look complete. */
    fun abort() {
        endExchange()
        channel.close()
    }

    /** Ends the connection if no request is in progress or being received. */
    fun closeIfIdle() {
        if (isIdle) channel.close()
    }

    private fun markClosing(response: HttpResponse) {
        if (node.isDraining) keepsOpen = false
        if (!keepsOpen) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun endExchange() {
        if (exchange != null) node.exchanges -= 1
        exchange = null
        lastProgress = node.time.markNow()
    }

    private fun nextRequest() {
        while (exchange == null && waiting.isNotEmpty()) read(waiting.removeFirst())
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        exchange?.callerWritable(channel.isWritable)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        idleTimer?.cancel(false)
        waiting.forEach(ReferenceCountUtil::release)
        waiting.clear()
        body?.release()
        body = null
        val left = exchange
        endExchange()
        left?.callerLeft()
        onClosed(this)
    }

    @Deprecated("Netty calls it for failures of the connection")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun scheduleIdleCheck() {
        val limit = if (head == null) limits.idleMilliseconds else limits.headerMilliseconds
        val left = limit.milliseconds - lastProgress.elapsedNow()
        if (exchange == null && !left.isPositive()) {
            if (head == null) {
                channel.close()
            } else {
                refuseConnection(HttpResponseStatus.REQUEST_TIMEOUT)
            }
            return
        }
        val delay = left.coerceIn(SHORTEST_CHECK, LONGEST_CHECK).inWholeMilliseconds
        idleTimer = node.loop.schedule(::scheduleIdleCheck, delay, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Queued parts of pipelined requests; a connection that sends more is closed. */
        const val MAXIMUM_WAITING = 1_024
        val BODILESS = setOf(204, 304)
        val SHORTEST_CHECK = 100.milliseconds
        val LONGEST_CHECK = 1_000.milliseconds
    }
}
