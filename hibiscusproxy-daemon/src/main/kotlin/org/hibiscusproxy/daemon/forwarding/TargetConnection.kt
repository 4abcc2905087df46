package org.hibiscusproxy.daemon.forwarding

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Takes what a target answers to one attempt. Called on the event loop. */
internal interface AnswerListener {
    /** The head of the answer with the attempt's request identifier. */
    fun onHead(response: HttpResponse, metadata: ResponseMetadata)

    /** Bytes of the body; [content] is released after the call. */
    fun onContent(content: HttpContent)

    /** The answer is complete. */
    fun onEnd()

    /** The connection ended or its bytes were no answer before the answer was complete. */
    fun onBroken(cause: String)
}

/**
 * One connection to a target, which carries one attempt at a time. Answers to other requests than
 * the present one are passed over; bytes that come while no request waits end the connection.
 */
internal class TargetConnection(
    private val wire: WireFormat,
    private val onFree: (TargetConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    lateinit var channel: Channel
        private set
    private var listener: AnswerListener? = null
    private var requestIdentifier: String? = null
    private var isRequestWritten = false
    private var isSkipping = false
    private var isReadingAnswer = false
    private var isFailed = false
    private var keepsOpen = false
    private var idleLimit = UNSTATED_IDLE_LIMIT
    private var idleSince: ComparableTimeMark? = null

    /** Whether an answer was complete on this connection before. */
    var isReused = false
        private set

    /** Whether the connection may carry another request. */
    val isUsable: Boolean
        get() = channel.isActive && idleSince.let { it != null && it.elapsedNow() < idleLimit }

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    /** Sends [request] and takes its answer with [answers]. */
    fun send(
        request: FullHttpRequest,
        identifier: String?,
        answers: AnswerListener,
    ): ChannelFuture {
        listener = answers
        requestIdentifier = identifier
        idleSince = null
        isRequestWritten = false
        isReadingAnswer = false
        channel.config().isAutoRead = true
        val written = channel.writeAndFlush(request)
        written.addListener(
            ChannelFutureListener { future ->
                if (future.isSuccess) {
                    isRequestWritten = true
                } else {
                    fail("write failed: ${future.cause()}")
                }
            },
        )
        return written
    }

    /** Pauses reading while the caller's connection is not writable. */
    fun setReading(isReading: Boolean) {
        if (listener != null) channel.config().isAutoRead = isReading
    }

    /** Ends the connection, which cancels the request at the target. */
    fun cancel() {
        listener = null
        channel.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject) read(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(message: HttpObject) {
        if (message.decoderResult().isFailure) return fail("${message.decoderResult().cause()}")
        if (message is HttpResponse) readHead(message)
        if (message is HttpContent) readContent(message)
    }

    private fun readHead(response: HttpResponse) {
        val taker = listener ?: return fail("answer without a request")
        if (response.status().code() in INFORMATIONAL) {
            isSkipping = true
            return
        }
        val metadata = wire.readResponse(response.status().code(), response.headers())
        val isOther = metadata.requestIdentifier != null &&
            requestIdentifier != null &&
            metadata.requestIdentifier != requestIdentifier
        if (isOther || isReadingAnswer) {
            isSkipping = true
            return
        }
        isReadingAnswer = true
        keepsOpen = HttpUtil.isKeepAlive(response)
        idleLimit = metadata.keepAliveTimeout?.let { it * USED_IDLE_SHARE } ?: UNSTATED_IDLE_LIMIT
        taker.onHead(response, metadata)
    }

    private fun readContent(content: HttpContent) {
        val isLast = content is LastHttpContent
        if (isSkipping) {
            if (isLast) isSkipping = false
            return
        }
        if (!isReadingAnswer) return
        if (content.content().isReadable) listener?.onContent(content)
        if (isLast && !isFailed) endAnswer()
    }

    private fun endAnswer() {
        val taker = listener ?: return
        listener = null
        isReadingAnswer = false
        isReused = true
        val isKept = keepsOpen && isRequestWritten && channel.isActive
        taker.onEnd()
        if (isKept) {
            channel.config().isAutoRead = true
            idleSince = TimeSource.Monotonic.markNow()
            onFree(this)
        } else {
            channel.close()
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) = fail("connection closed")

    @Deprecated("Netty calls it for failures of the connection")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) =
        fail(cause.toString())

    private fun fail(cause: String) {
        isFailed = true
        val taker = listener
        listener = null
        channel.close()
        taker?.onBroken(cause)
    }

    private companion object {
        val INFORMATIONAL = 100..199

        /** Targets that keep connections for less than a second state no time. */
        val UNSTATED_IDLE_LIMIT: Duration = 300.milliseconds

        /** The target may close the connection while a request is on its way to it. */
        const val USED_IDLE_SHARE = 0.6
    }
}
