package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandler.Sharable
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import java.nio.charset.StandardCharsets.UTF_8

/**
 * Serves readiness, health and metrics on the forwarder's event loop. This needs no second HTTP
 * server, and a blocked event loop fails the readiness check. A connection whose client sends on
 * without reading its answers is closed.
 */
@Sharable
internal class StatusHandler(
    private val readyPaths: Set<String>,
    private val isReady: () -> Boolean,
    private val metrics: () -> String,
) : SimpleChannelInboundHandler<HttpObject>() {
    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (message !is HttpRequest || !context.channel().isActive) return
        if (!context.channel().isWritable) {
            context.close()
            return
        }
        val (status, text) = when (message.uri().substringBefore('?')) {
            in readyPaths -> readiness()
            "/health" -> HttpResponseStatus.OK to "ok\n"
            "/metrics" -> HttpResponseStatus.OK to metrics()
            else -> HttpResponseStatus.NOT_FOUND to "not found\n"
        }
        val body = Unpooled.copiedBuffer(text, UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        val written = context.writeAndFlush(response)
        if (!HttpUtil.isKeepAlive(message)) written.addListener(ChannelFutureListener.CLOSE)
    }

    private fun readiness(): Pair<HttpResponseStatus, String> = if (isReady()) {
        HttpResponseStatus.OK to "ready\n"
    } else {
        HttpResponseStatus.SERVICE_UNAVAILABLE to "not ready\n"
    }

    @Deprecated("Overrides a deprecated Netty method that is called on connection errors")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }
}
