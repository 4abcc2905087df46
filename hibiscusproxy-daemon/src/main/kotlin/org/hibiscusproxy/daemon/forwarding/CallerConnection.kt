package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
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
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.daemon.forwarding.ReceivedMemory.Companion.headBytes
import org.hibiscusproxy.forwarding.CallerLimits
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * A connection from a caller. It reads a complete request, passes it to an [Exchange] and writes
 * the response. Pipelined requests are queued until the response is complete; when too many bytes
 * wait, reading stops. All that it holds counts toward the memory budget of the node.
 */
internal class CallerConnection(
    private val node: ForwardingNode,
    private val onClosed: (CallerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private val queuedMessages = ArrayDeque<HttpObject>()

    /** When the heads of the queued requests and of the present one arrived. */
    private val arrivals = ArrayDeque<ComparableTimeMark>()
    private var head: HttpRequest? = null
    private var body: BodyBuffer? = null
    private val holding = node.memory.budget.open(this)
    private var headBytes = 0L
    private var queuedBytes = 0L
    private var exchangeBytes = 0L
    private var exchange: Exchange? = null
    private var isClosing = false
    private var isKeepAlive = true

    /** When a part of a request or the end of an answer was seen last. */
    var lastProgress: ComparableTimeMark = node.time.markNow()
        private set
    private var idleTimer: ScheduledFuture<*>? = null

    /** Memory of what the decoder has not passed on; stands before it in the pipeline. */
    val received = ReceivedMemory {
        if (!isClosing && channel.isActive) {
            updateHolding()
            node.memory.shed(holding)
        }
    }

    /** Whether no request is in progress or being received. */
    val isIdle: Boolean get() = exchange == null && head == null && queuedMessages.isEmpty()

    private val limits: CallerLimits get() = node.routes?.configuration?.limits ?: CallerLimits()

    override fun channelActive(context: ChannelHandlerContext) {
        channel = context.channel()
        lastProgress = node.time.markNow()
        checkIdleTime()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject) {
            ReferenceCountUtil.release(message)
            return
        }
        received.recordDecoded(message)
        if (message is HttpRequest) arrivals.addLast(node.time.markNow())
        val mustWait = exchange != null || queuedMessages.isNotEmpty() || !channel.isWritable
        if (mustWait) queue(message) else read(message)
    }

    private fun queue(message: HttpObject) {
        queuedMessages.addLast(message)
        queuedBytes += message.heldBytes
        if (queuedMessages.size > MAXIMUM_QUEUED_MESSAGES) channel.close()
        if (queuedBytes > MAXIMUM_QUEUED_BYTES) channel.config().isAutoRead = false
        updateHolding()
        node.memory.shed(holding)
    }

    private val HttpObject.heldBytes: Long
        get() = MESSAGE_BYTES + ((this as? HttpContent)?.content()?.readableBytes() ?: 0) +
            ((this as? HttpRequest)?.headBytes ?: 0)

    private fun updateHolding() {
        val pending = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0L
        val partBytes = received.bytes
        if (exchange == null) {
            val unfinished = headBytes + (body?.allocated ?: 0L) + partBytes
            holding.update(unfinished, inProgress = 0, pending, queuedBytes)
        } else {
            holding.update(unfinished = 0, exchangeBytes, pending, queuedBytes + partBytes)
        }
    }

    private fun read(message: HttpObject) {
        try {
            lastProgress = node.time.markNow()
            when {
                isClosing -> Unit
                message.decoderResult().isFailure -> rejectMalformed(message)
                else -> accept(message)
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun accept(message: HttpObject) {
        if (message is HttpRequest) {
            head = message
            headBytes = message.headBytes
            body = BodyBuffer()
            isKeepAlive = HttpUtil.isKeepAlive(message)
            if (HttpUtil.is100ContinueExpected(message)) {
                channel.writeAndFlush(
                    DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE),
                )
            }
        }
        if (message is HttpContent) {
            val collected = body ?: return
            collected.add(message.content())
            if (collected.size > limits.bodyBytes) {
                return rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            }
            updateHolding()
            node.memory.shed(holding)
            if (message is LastHttpContent && !isClosing) startExchange()
        }
    }

    /** Refuses the request that is being received, because the memory is needed for others. */
    fun shedBody(status: HttpResponseStatus) {
        if (exchange != null || isClosing) return
        val reason = FinalReason.CALLER_MEMORY
        val response = if (status == HttpResponseStatus.REQUEST_TIMEOUT) {
            ErrorResponses.failure(status, reason, ErrorResponses.NOT_RUN)
        } else {
            ErrorResponses.refusal(reason, ErrorResponses.MEMORY_RETRY_AFTER)
        }
        rejectAndClose(response)
    }

    /** Closes the connection, which is idle or whose caller holds much memory, for others. */
    fun closeForOthers() {
        isClosing = true
        channel.close()
    }

    private fun startExchange() {
        val request = checkNotNull(head) { "request body without request headers" }
        val collected = checkNotNull(body) { "request without a body buffer" }
        exchangeBytes = headBytes + collected.allocated
        val bytes = collected.finish()
        head = null
        headBytes = 0
        body = null
        val next = Exchange(node, this, request, bytes, arrivals.removeFirst())
        exchange = next
        updateHolding()
        node.activeExchanges += 1
        // By then the loop has also read whether the caller has left since it sent the request.
        node.loop.execute { if (channel.isActive) next.guard { next.start() } }
    }

    private fun rejectMalformed(message: HttpObject) {
        val cause = message.decoderResult().cause()
        val isTooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        val status = if (isTooLong) {
            HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        } else {
            HttpResponseStatus.BAD_REQUEST
        }
        rejectAndClose(status)
    }

    /** Rejects a request that was not read completely and closes the connection. */
    private fun rejectAndClose(status: HttpResponseStatus) {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0)
        rejectAndClose(response)
    }

    private fun rejectAndClose(response: DefaultFullHttpResponse) {
        isClosing = true
        head = null
        headBytes = 0
        body?.release()
        body = null
        updateHolding()
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        write(response).addListener(ChannelFutureListener.CLOSE)
    }

    /** Writes [message] and counts what the caller has not read. */
    private fun write(message: HttpObject): ChannelFuture {
        val written = channel.writeAndFlush(message)
        updateHolding()
        if (!written.isDone) {
            written.addListener { updateHolding() }
            node.memory.shed(holding)
        }
        return written
    }

    /** Whether the write buffer has space; false while the caller reads too slowly. */
    val isWritable: Boolean get() = channel.isWritable

    /** Sends the status and headers of a streamed response. */
    fun writeHead(response: HttpResponse) {
        val copy = DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status())
        copy.headers().set(response.headers())
        node.wire.removeConnectionHeaders(copy.headers())
        val hasLength = copy.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        if (!hasLength && response.status().code() !in STATUSES_WITHOUT_BODY) {
            HttpUtil.setTransferEncodingChunked(copy, true)
        }
        setConnectionHeader(copy)
        write(copy)
    }

    /** Sends [bytes] of the body; takes ownership of the buffer. */
    fun writeContent(bytes: ByteBuf) {
        write(DefaultHttpContent(bytes))
    }

    /** Completes a streamed response. */
    fun finish() {
        val written = write(LastHttpContent.EMPTY_LAST_CONTENT)
        // The headers may have been sent before draining began.
        if (node.isDraining) isKeepAlive = false
        endExchange()
        if (!isKeepAlive) written.addListener(ChannelFutureListener.CLOSE) else readQueuedMessages()
    }

    /** Sends a complete response that the forwarder generated itself. */
    fun writeResponse(response: DefaultFullHttpResponse) {
        setConnectionHeader(response)
        val written = write(response)
        endExchange()
        if (!isKeepAlive) written.addListener(ChannelFutureListener.CLOSE) else readQueuedMessages()
    }

    /** Closes the connection within a response, so that the response does not appear complete. */
    fun abort() {
        endExchange()
        channel.close()
    }

    /** Closes the connection if [failed] has no answer yet. */
    fun abort(failed: Exchange) {
        if (exchange === failed) abort()
    }

    /** Closes the connection if it has been without a request for [minimum]. */
    fun closeIfIdle(minimum: Duration) {
        if (isIdle && lastProgress.elapsedNow() >= minimum) channel.close()
    }

    /** Answers the request in progress before the process ends; returns whether there was one. */
    fun endRequest(): Boolean {
        val current = exchange ?: return false
        current.guard {
            current.endEarly(FinalReason.SHUTTING_DOWN, HttpResponseStatus.GATEWAY_TIMEOUT)
        }
        return true
    }

    private fun setConnectionHeader(response: HttpResponse) {
        if (node.isDraining) isKeepAlive = false
        if (!isKeepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun endExchange() {
        if (exchange != null) node.activeExchanges -= 1
        exchange = null
        exchangeBytes = 0
        lastProgress = node.time.markNow()
        updateHolding()
    }

    private fun readQueuedMessages() {
        try {
            while (exchange == null && queuedMessages.isNotEmpty() && channel.isWritable) {
                val message = queuedMessages.removeFirst()
                queuedBytes -= message.heldBytes
                read(message)
            }
            updateHolding()
            if (queuedBytes <= MAXIMUM_QUEUED_BYTES) channel.config().isAutoRead = true
        } catch (failure: Throwable) {
            // The caller is a step of the earlier request, whose guard would not answer this one.
            endAfter(failure)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        exchange?.onCallerWritabilityChanged(channel.isWritable)
        if (channel.isWritable && exchange == null && !isClosing) readQueuedMessages()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        idleTimer?.cancel(false)
        queuedMessages.forEach(ReferenceCountUtil::release)
        queuedMessages.clear()
        queuedBytes = 0
        body?.release()
        body = null
        val activeExchange = exchange
        endExchange()
        holding.release()
        activeExchange?.onCallerDisconnected()
        onClosed(this)
    }

    @Deprecated("Overrides a deprecated Netty method that is called on connection errors")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) = endAfter(cause)

    /** Answers the request in progress or being read, and closes the connection if it failed. */
    private fun endAfter(cause: Throwable) {
        val current = exchange
        when {
            cause is IOException || isClosing -> channel.close()

            current != null -> current.onStepFailed(cause)

            else -> {
                LOG.error("forwarder: reading a request failed", cause)
                val reason = FinalReason.INTERNAL_FAILURE
                rejectAndClose(ErrorResponses.refusal(reason, RoutingWait.RETRY_AFTER))
            }
        }
    }

    private fun checkIdleTime() {
        val limit = if (head == null) limits.idleMilliseconds else limits.headerMilliseconds
        val remaining = limit.milliseconds - lastProgress.elapsedNow()
        if (exchange == null && !remaining.isPositive()) {
            if (head == null) {
                channel.close()
            } else {
                rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT)
            }
            return
        }
        val delay =
            remaining.coerceIn(MINIMUM_CHECK_INTERVAL, MAXIMUM_CHECK_INTERVAL).inWholeMilliseconds
        idleTimer = node.loop.schedule(::checkIdleTime, delay, TimeUnit.MILLISECONDS)
    }

    private companion object {
        val LOG: Logger = LoggerFactory.getLogger(CallerConnection::class.java)

        /** Limit for messages of pipelined requests; a connection that exceeds it is closed. */
        const val MAXIMUM_QUEUED_MESSAGES = 1_024

        /** Bytes of pipelined requests after which the connection is not read. */
        const val MAXIMUM_QUEUED_BYTES = 65_536L

        /** Memory of a queued message besides its content. */
        const val MESSAGE_BYTES = 512L
        val STATUSES_WITHOUT_BODY = setOf(204, 304)
        val MINIMUM_CHECK_INTERVAL = 100.milliseconds
        val MAXIMUM_CHECK_INTERVAL = 1_000.milliseconds
    }
}
