package org.hibiscusproxy.daemon.forwarding

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes the responses on [connection]. Reports bytes that arrive, or are left over, while no
 * request is pending: they would otherwise become the start of the response to the next request.
 */
internal class TargetResponseDecoder(
    config: HttpDecoderConfig,
    private val connection: TargetConnection,
) : HttpResponseDecoder(config) {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val isUnsolicited = !connection.isPending
        super.channelRead(context, message)
        if (isUnsolicited) connection.onUnsolicitedBytes()
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        connection.onReadComplete(hasUndecodedBytes = actualReadableBytes() > 0)
        super.channelReadComplete(context)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        connection.isHeadPending || super.isContentAlwaysEmpty(message)
}
