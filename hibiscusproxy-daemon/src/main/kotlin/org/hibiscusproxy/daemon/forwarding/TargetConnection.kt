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
}

/**
 * A connection to a target, which carries one attempt at a time. Responses with the identifier of
 * another request are skipped; a response while no request is pending closes the connection. So does
 * a refusal that a faulty target may have written for an earlier request: it says nothing about
 * whether the present one runs.
 */
internal class TargetConnection(
    private val wire: WireFormat,
    private val onIdle: (TargetConnection) -> Unit,
    private val onUnmatchedAnswer: (UnmatchedAnswer) -> Unit,
) : ChannelInboundHandlerAdapter() {
    lateinit var channel: Channel
        private set
    private var listener: ResponseListener? = null
    private var requestIdentifier: String? = null

    /** Identifiers of requests that were refused on this connection, the latest last. */
    private val refusedIdentifiers = LinkedHashSet<String>()
    private var requests = 0
    private var isRequestWritten = false
    private var isSkippingResponse = false
    private var skippedBytes = 0L
    private var isReadingResponse = false
    private var isFailed = false
    private var isKeepAlive = false
    private var idleLimit = DEFAULT_IDLE_LIMIT
    private var idleSince: ComparableTimeMark? = null

    /** Whether an earlier response was completed on this connection. */
    var isReused = false
        private set

    /** Whether the connection is open and idle for less than its limit. */
    val isUsable: Boolean
        get() = channel.isActive && idleSince.let { it != null && it.elapsedNow() < idleLimit }

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
        requests += 1
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
                    fail("write failed: ${future.cause()}")
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
        val metadata = wire.readResponse(response.status().code(), response.headers())
        val currentListener = listener
        if (currentListener == null) {
            report(UnmatchedAnswerReason.NO_REQUEST, response, metadata)
            return fail("response without a pending request")
        }
        if (response.status().code() in INFORMATIONAL_STATUSES) {
            isSkippingResponse = true
            return
        }
        val isOtherRequest = metadata.requestIdentifier != null &&
            requestIdentifier != null &&
            metadata.requestIdentifier != requestIdentifier
        if (isOtherRequest || isReadingResponse) {
            report(UnmatchedAnswerReason.OTHER_REQUEST, response, metadata)
            isSkippingResponse = true
            return
        }
        if (isReused && metadata.requestIdentifier == null) {
            report(UnmatchedAnswerReason.NO_IDENTIFIER, response, metadata)
        }
        if (metadata.execution != ExecutionStatus.MAY_HAVE_RUN) {
            if (mayBeEarlierRefusal(metadata)) return fail("refusal may be of an earlier request")
            requestIdentifier?.let(::recordRefused)
        }
        isReadingResponse = true
        isKeepAlive = HttpUtil.isKeepAlive(response)
        idleLimit =
            metadata.keepAliveTimeout?.let { it * IDLE_LIMIT_FRACTION } ?: DEFAULT_IDLE_LIMIT
        currentListener.onHead(response, metadata)
    }

    private fun report(
        reason: UnmatchedAnswerReason,
        response: HttpResponse,
        metadata: ResponseMetadata,
    ) = onUnmatchedAnswer(
        UnmatchedAnswer(
            reason,
            metadata.requestIdentifier,
            requestIdentifier.takeIf { listener != null },
            response.status().code(),
            AnswerFraming.of(response),
            if (listener == null) requests else requests - 1,
        ),
    )

    private fun mayBeEarlierRefusal(metadata: ResponseMetadata): Boolean =
        isReused && (metadata.requestIdentifier == null || requestIdentifier in refusedIdentifiers)

    private fun recordRefused(identifier: String) {
        refusedIdentifiers += identifier
        if (refusedIdentifiers.size > MAXIMUM_REFUSED_IDENTIFIERS) {
            refusedIdentifiers.remove(refusedIdentifiers.first())
        }
    }

    private fun readContent(content: HttpContent) {
        val isLast = content is LastHttpContent
        if (isSkippingResponse) {
            skippedBytes += content.content().readableBytes()
            if (isLast) isSkippingResponse = false
            if (skippedBytes > MAXIMUM_SKIPPED_BYTES) fail("responses to no request are too long")
            return
        }
        if (!isReadingResponse) return
        if (content.content().isReadable) listener?.onContent(content)
        if (isLast && !isFailed) completeResponse()
    }

    private fun completeResponse() {
        val currentListener = listener ?: return
        listener = null
        isReadingResponse = false
        isReused = true
        val isReusable = isKeepAlive && isRequestWritten && channel.isActive
        currentListener.onEnd()
        if (isReusable) {
            channel.config().isAutoRead = true
            idleSince = TimeSource.Monotonic.markNow()
            onIdle(this)
        } else {
            channel.close()
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) = fail("connection closed")

    @Deprecated("Overrides a deprecated Netty method that is called on connection errors")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) =
        fail(cause.toString())

    private fun fail(cause: String) {
        isFailed = true
        val currentListener = listener
        listener = null
        channel.close()
        currentListener?.onFailure(cause)
    }

    private companion object {
        const val MAXIMUM_REFUSED_IDENTIFIERS = 16

        /** Bytes of skipped responses after which a connection is closed. */
        const val MAXIMUM_SKIPPED_BYTES = 1_048_576L
        val INFORMATIONAL_STATUSES = 100..199

        /** Targets that close idle connections within a second do not state their timeout. */
        val DEFAULT_IDLE_LIMIT: Duration = 300.milliseconds

        /** Leaves a margin: the target may close the connection while a request is in transit. */
        const val IDLE_LIMIT_FRACTION = 0.6
    }
}
