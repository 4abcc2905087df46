package org.hibiscusproxy.daemon.forwarding

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.hibiscusproxy.daemon.forwarding.UnmatchedAnswerReason.NO_IDENTIFIER
import org.hibiscusproxy.daemon.forwarding.UnmatchedAnswerReason.NO_REQUEST
import org.hibiscusproxy.daemon.forwarding.UnmatchedAnswerReason.OTHER_REQUEST
import org.hibiscusproxy.daemon.forwarding.UnmatchedAnswerReason.SEVERAL_HEADS
import org.hibiscusproxy.daemon.forwarding.UnmatchedAnswerReason.SEVERAL_IDENTIFIERS

/** Receives the response of a target to one attempt. Called on the event loop. */
internal interface ResponseListener {
    /** Called with the status and headers of the response. */
    fun onHead(response: HttpResponse, metadata: ResponseMetadata)

    /** Called with a part of the body; [content] is released after the call. */
    fun onContent(content: HttpContent)

    /** Called when the response is complete. */
    fun onEnd()

    /** Called when the connection is lost or the response is malformed before its end. */
    fun onFailure(cause: String)

    /** Called when the connection was closed because its responses cannot be told apart. */
    fun onRejected(cause: String)
}

/**
 * A connection to a target, which carries one attempt at a time. An answer belongs to the pending
 * request if it names that request and no other, or if the connection carried no other request. One
 * that names another request only is skipped, and the connection is closed after the pending
 * request's own answer. Any other answer ends the connection, and the result of the pending request
 * is unknown. So does an answer that holds parts of two.
 */
internal class TargetConnection(
    private val wire: WireFormat,
    private val onIdle: (TargetConnection) -> Unit,
    private val onUnmatchedAnswer: (UnmatchedAnswer) -> Unit,
    private val onReceived: () -> Unit = {},
) : ChannelInboundHandlerAdapter() {
    lateinit var channel: Channel
        private set
    private var listener: ResponseListener? = null
    private var requestIdentifier: String? = null
    private val carried = CarriedRequests()
    private var isRequestWritten = false
    private var isSkippingResponse = false
    private var skippedBytes = 0L
    private var skippedStatusLines = StatusLineSearch()
    private var isReadingResponse = false
    private var isEnded = false
    private var isClosing = false
    private var isBroken = false
    private var isKeepAlive = false
    private var isIdentified = false
    private var hasUnmatchedAnswer = false
    private var isIdleAfterRead = false
    private var idleLimit = DEFAULT_IDLE_LIMIT
    private var idleSince: ComparableTimeMark? = null

    /** Whether a request waits for its answer or for the end of it. */
    val isPending: Boolean get() = listener != null

    /** Whether the connection is read, without which its end is not noticed. */
    val isRead: Boolean get() = channel.config().isAutoRead

    /** Whether the target ended the connection; known once it is closed. */
    val isLost: Boolean get() = isBroken || !(isEnded || isClosing)

    /** Whether the method of the latest request is HEAD, whose answer has no body. */
    var isHeadPending = false
        private set

    /** Whether a request can be sent on the connection. */
    val isOpen: Boolean get() = channel.isActive && !isEnded

    /** Whether the connection is open and idle for less than its limit. */
    val isUsable: Boolean
        get() = isOpen && idleSince.let { it != null && it.elapsedNow() < idleLimit }

    /** Whether the answer to a request could be told from those to all requests so far. */
    fun accepts(method: HttpMethod, identifier: String?): Boolean =
        carried.accepts(method, identifier)

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    /** Sends [request] and passes its response to [responseListener]. */
    fun send(
        request: FullHttpRequest,
        identifier: String?,
        responseListener: ResponseListener,
    ): ChannelFuture {
        listener = responseListener
        requestIdentifier = identifier
        carried.add(request.method(), identifier)
        isHeadPending = request.method() == HttpMethod.HEAD
        idleSince = null
        isRequestWritten = false
        isReadingResponse = false
        channel.config().isAutoRead = true
        val written = channel.writeAndFlush(request)
        written.addListener(
            ChannelFutureListener { future ->
                if (future.isSuccess) {
                    isRequestWritten = true
                } else {
                    failBroken("write failed: ${future.cause()}")
                }
            },
        )
        return written
    }

    /** Pauses or resumes reading; paused while the caller's connection is not writable. */
    fun setReading(isReading: Boolean) {
        if (listener != null) channel.config().isAutoRead = isReading
    }

    /** Closes the connection at the end of the current response instead of keeping it. */
    fun closeAfterResponse() {
        isKeepAlive = false
    }

    /** Closes the connection, which cancels the request at the target. */
    fun cancel() {
        end()
    }

    /** Closes the connection and returns the listener of the pending request, if there is one. */
    private fun end(): ResponseListener? {
        isEnded = true
        val currentListener = listener
        listener = null
        channel.close()
        return currentListener
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject && !isEnded) read(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(message: HttpObject) {
        if (message.decoderResult().isFailure) return reject("${message.decoderResult().cause()}")
        if (message is HttpResponse) readHead(message)
        if (message is HttpContent && !isEnded) readContent(message)
    }

    private fun readHead(response: HttpResponse) {
        val currentListener = listener ?: return
        val status = response.status().code()
        if (status !in DEFINED_STATUSES) return reject("status $status is not defined")
        val metadata = wire.readResponse(status, response.headers())
        val isOnlyAnswer = carried.count == 1 && !hasUnmatchedAnswer
        val unmatched = when {
            !isOnlyAnswer && StatusLineSearch.holdsAnother(response) -> SEVERAL_HEADS
            response.status() == HttpResponseStatus.SWITCHING_PROTOCOLS ->
                return reject("target switches to another protocol")
            status in INFORMATIONAL_STATUSES -> return beginSkipping()
            else -> unmatchedReason(metadata.requestIdentifiers, isOnlyAnswer)
        }
        if (unmatched != null) return rejectUnmatched(unmatched, response, metadata)
        isReadingResponse = true
        isKeepAlive = HttpUtil.isKeepAlive(response)
        isIdentified = metadata.requestIdentifiers.isNotEmpty()
        idleLimit =
            metadata.keepAliveTimeout?.let { it * IDLE_LIMIT_FRACTION } ?: DEFAULT_IDLE_LIMIT
        currentListener.onHead(response, metadata)
    }

    /** Returns why an answer that names [identifiers] is not the pending request's; null if it is. */
    private fun unmatchedReason(
        identifiers: Set<String>,
        isOnlyAnswer: Boolean,
    ): UnmatchedAnswerReason? {
        val own = requestIdentifier
        return when {
            identifiers.isEmpty() -> NO_IDENTIFIER.takeUnless { isOnlyAnswer }
            own == null -> null
            own !in identifiers -> OTHER_REQUEST
            identifiers.size > 1 -> SEVERAL_IDENTIFIERS.takeUnless { isOnlyAnswer }
            else -> null
        }
    }

    private fun rejectUnmatched(
        reason: UnmatchedAnswerReason,
        response: HttpResponse,
        metadata: ResponseMetadata,
    ) {
        val framing = AnswerFraming.of(response)
        report(reason, metadata.requestIdentifiers, response.status().code(), framing)
        val isSkippable =
            reason == OTHER_REQUEST && framing != AnswerFraming.CONNECTION && !isHeadPending
        if (isSkippable) beginSkipping() else reject("unmatched answer: ${reason.text}")
    }

    private fun beginSkipping() {
        isSkippingResponse = true
        skippedStatusLines = StatusLineSearch()
    }

    /** Called after bytes arrived while no request was pending. */
    fun onUnsolicitedBytes() {
        if (isEnded) return
        report(NO_REQUEST)
        end()
    }

    /** Called after all bytes that have arrived are decoded. */
    fun onReadComplete() {
        onReceived()
        if (!isIdleAfterRead) return
        isIdleAfterRead = false
        if (!isOpen) return
        idleSince = TimeSource.Monotonic.markNow()
        onIdle(this)
    }

    private fun report(
        reason: UnmatchedAnswerReason,
        identifiers: Set<String> = emptySet(),
        status: Int? = null,
        framing: AnswerFraming? = null,
    ) {
        hasUnmatchedAnswer = true
        onUnmatchedAnswer(
            UnmatchedAnswer(
                reason,
                identifiers,
                requestIdentifier.takeIf { isPending },
                status,
                framing,
                if (isPending) carried.count - 1 else carried.count,
            ),
        )
    }

    private fun readContent(content: HttpContent) {
        val isLast = content is LastHttpContent
        if (isSkippingResponse) return skipContent(content)
        if (!isReadingResponse) return
        if (content.content().isReadable) listener?.onContent(content)
        if (isLast && !isEnded) completeResponse()
    }

    /** Skips a part of an answer, which takes in the pending request's if it was cut. */
    private fun skipContent(content: HttpContent) {
        skippedBytes += content.content().readableBytes()
        val holdsStatusLine = skippedStatusLines.endsWithin(content.content()) ||
            content is LastHttpContent &&
            StatusLineSearch.holdsStatusLine(content.trailingHeaders())
        if (holdsStatusLine) {
            report(SEVERAL_HEADS)
            return reject("unmatched answer: ${SEVERAL_HEADS.text}")
        }
        if (content is LastHttpContent) isSkippingResponse = false
        if (skippedBytes > MAXIMUM_SKIPPED_BYTES) reject("responses to no request are too long")
    }

    private fun completeResponse() {
        val currentListener = listener ?: return
        listener = null
        isReadingResponse = false
        val isReusable = isKeepAlive && isRequestWritten && channel.isActive &&
            isIdentified && !hasUnmatchedAnswer && !carried.isExhausted
        currentListener.onEnd()
        if (isReusable) {
            channel.config().isAutoRead = true
            isIdleAfterRead = true
        } else {
            isClosing = true
            channel.close()
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) = failBroken("connection closed")

    @Deprecated("Overrides a deprecated Netty method that is called on connection errors")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) =
        failBroken(cause.toString())

    /** Ends the connection, which the target closed or reset unless it was closed here before. */
    private fun failBroken(cause: String) {
        if (!isEnded && !isClosing) isBroken = true
        end()?.onFailure(cause)
    }

    private fun reject(cause: String) {
        end()?.onRejected(cause)
    }

    private companion object {
        /** Bytes of skipped responses after which a connection is closed. */
        const val MAXIMUM_SKIPPED_BYTES = 1_048_576L
        val DEFINED_STATUSES = 100..599
        val INFORMATIONAL_STATUSES = 100..199

        /** Targets that close idle connections within a second do not state their timeout. */
        val DEFAULT_IDLE_LIMIT: Duration = 300.milliseconds

        /** Leaves a margin: the target may close the connection while a request is in transit. */
        const val IDLE_LIMIT_FRACTION = 0.6
    }
}
