package org.hibiscusproxy.daemon.forwarding

import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpVersion
import org.hibiscusproxy.forwarding.DiscoveredTarget

/** Creates the requests that are sent to targets for the caller's request of [exchange]. */
internal class TargetRequestFactory(private val exchange: Exchange) {
    /** Creates the request to [target], which copies uncached parts of the prompt from [cachedAt]. */
    fun create(target: DiscoveredTarget, cachedAt: DiscoveredTarget?): DefaultFullHttpRequest {
        val headers = DefaultHttpHeaders()
        headers.set(exchange.head.headers())
        val isEngine = exchange.metadata.prompt != null
        exchange.node.wire.writeTargetHeaders(
            headers,
            TargetRequestHeaders(
                target.name,
                exchange.team?.name,
                exchange.remaining.inWholeMilliseconds.coerceAtLeast(1),
                urgency().takeIf { isEngine },
                exchange.events?.lastIdentifier ?: exchange.metadata.lastEventIdentifier,
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
        return (HIGHEST_PRIORITY_URGENCY + priority).coerceIn(0, LOWEST_URGENCY)
    }

    private companion object {
        /** Reserves the ranks 0 and 1 for future use. */
        const val HIGHEST_PRIORITY_URGENCY = 2
        const val LOWEST_URGENCY = 9
    }
}
