package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent

/**
 * Estimates the memory of what a connection has received and its decoder has not passed on: parts of
 * heads and trailers. It stands before the decoder, and [onReceived] is called after each read.
 */
internal class ReceivedMemory(private val onReceived: () -> Unit) : ChannelInboundHandlerAdapter() {
    private val head = ReceivedFields(DefaultHttpHeadersFactory.headersFactory())
    private val trailer = ReceivedFields(DefaultHttpHeadersFactory.trailersFactory())
    private var receivedBytes = 0L

    /** Estimated memory in bytes. */
    val bytes: Long get() = receivedBytes + (head.count + trailer.count) * FIELD_BYTES

    /** Has a decoder with [config] create its fields here. */
    fun observe(config: HttpDecoderConfig): HttpDecoderConfig =
        config.setHeadersFactory(head).setTrailersFactory(trailer)

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf) receivedBytes += message.readableBytes()
        context.fireChannelRead(message)
        onReceived()
    }

    /** Records that the decoder has passed [message] on. */
    fun recordDecoded(message: HttpObject) {
        if (message is HttpRequest) {
            head.complete()
            receivedBytes -= message.textBytes
        }
        if (message is HttpContent) {
            receivedBytes -= message.content().readableBytes() + CHUNK_BYTES
        }
        if (message is LastHttpContent) {
            trailer.complete()
            // The text of a head is known without its spaces only.
            if (receivedBytes < NEGLIGIBLE_BYTES) receivedBytes = 0
        }
        receivedBytes = maxOf(receivedBytes, 0)
    }

    companion object {
        /** Memory of a field beside its text: an entry of the table and two strings. */
        private const val FIELD_BYTES = 160L

        /** Separators and line ends of a field. */
        private const val SEPARATOR_BYTES = 4L

        /** Most bytes with which a chunk is framed, without extensions. */
        private const val CHUNK_BYTES = 12L
        private const val NEGLIGIBLE_BYTES = 1_024L

        /** Bytes of the head of a request, as received. */
        private val HttpRequest.textBytes: Long
            get() {
                var bytes = uri().length.toLong()
                val fields = headers().iteratorCharSequence()
                while (fields.hasNext()) {
                    val (name, value) = fields.next()
                    bytes += name.length + value.length + SEPARATOR_BYTES
                }
                return bytes
            }

        /** Estimated memory of the head of a request, in bytes. */
        val HttpRequest.headBytes: Long get() = textBytes + headers().size() * FIELD_BYTES
    }
}
