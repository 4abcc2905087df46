package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes the responses on [connection]. Bytes while no request is pending are not decoded, as they
 * would become the start of the response to the next request.
 */
internal class TargetResponseDecoder(
    config: HttpDecoderConfig,
    private val connection: TargetConnection,
) : HttpResponseDecoder(config) {
    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (connection.isPending) return super.decode(context, buffer, out)
        buffer.skipBytes(buffer.readableBytes())
        connection.onUnsolicitedBytes()
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        connection.onReadComplete()
        super.channelReadComplete(context)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        connection.isHeadPending || super.isContentAlwaysEmpty(message)
}
