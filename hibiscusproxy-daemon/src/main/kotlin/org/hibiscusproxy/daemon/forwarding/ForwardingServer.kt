package org.hibiscusproxy.daemon.forwarding

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import java.io.IOException
import kotlin.time.Duration
import org.hibiscusproxy.forwarding.CallerLimits
import org.hibiscusproxy.model.NetworkAddress
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** HTTP listeners of a forwarder: one for callers, others for readiness and metrics. */
internal class ForwardingServer(
    private val group: EventLoopGroup,
    private val node: ForwardingNode,
) {
    private val statusChannels = ArrayDeque<Channel>()
    private val listeners = ArrayList<Channel>()
    private var callerListener: CallerListener? = null

    /** @throws java.io.IOException when the address cannot be used */
    fun listenForCallers(address: NetworkAddress): NetworkAddress {
        val listener = bind(address) { channel ->
            val limits = node.routes?.configuration?.limits ?: CallerLimits()
            val caller = CallerConnection(node, node.admission::remove)
            if (node.admission.admit(caller)) {
                val received = caller.received
                val codec = HttpServerCodec(received.observe(decoderConfig(limits.headerBytes)))
                channel.pipeline().addLast(received, codec, caller)
            } else {
                channel.close()
            }
        }
        callerListener = listener as CallerListener
        return address.copy(port = (listener.localAddress() as java.net.InetSocketAddress).port)
    }

    /** @throws java.io.IOException when the address cannot be used */
    fun listenForStatus(address: NetworkAddress, handler: StatusHandler) {
        bind(address) { channel ->
            if (statusChannels.size >= MAXIMUM_STATUS_CONNECTIONS) {
                statusChannels.removeFirst().close()
            }
            statusChannels.addLast(channel)
            channel.closeFuture().addListener { statusChannels.remove(channel) }
            val codec = HttpServerCodec(decoderConfig(MAXIMUM_STATUS_HEADER_BYTES))
            channel.pipeline().addLast(codec, handler)
        }
    }

    /** Stops accepting connections from callers, after those in the kernel's queue. */
    fun stopAccepting() {
        val listener = callerListener ?: return
        try {
            listener.acceptQueued(ACCEPT_BACKLOG)
        } catch (failure: IOException) {
            LOG.warn("forwarder: cannot accept the last connections: {}", failure.toString())
        }
        listener.close()
    }

    /**
     * Closes the connections that have been without a request for [minimum], and returns how many
     * connections are left. Called on the event loop.
     */
    fun closeIdle(minimum: Duration): Int {
        node.admission.connections.toList().forEach { it.closeIfIdle(minimum) }
        return node.admission.connections.size
    }

    /** Answers all requests in progress and returns their number. Called on the event loop. */
    fun endRequests(): Int = node.admission.connections.toList().count { it.endRequest() }

    fun close() = listeners.forEach { it.close() }

    private fun bind(address: NetworkAddress, initialize: (SocketChannel) -> Unit): Channel =
        ServerBootstrap()
            .group(group)
            .channel(CallerListener::class.java)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            // Reads on after a request, so that a close behind it is seen in the same turn.
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false),
            )
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) = initialize(channel)
            })
            .bind(address.host, address.port)
            .sync()
            .channel()
            .also(listeners::add)

    private fun decoderConfig(headerBytes: Int) =
        HttpDecoderConfig().setMaxHeaderSize(headerBytes).setMaxInitialLineLength(headerBytes)

    private companion object {
        /** Holds a burst of new connections; a full queue would delay them by a second. */
        const val ACCEPT_BACKLOG = 1_024
        const val MAXIMUM_STATUS_HEADER_BYTES = 8_192

        /** The platform and operators use a few; the oldest is closed for a new one. */
        const val MAXIMUM_STATUS_CONNECTIONS = 32
        val LOG: Logger = LoggerFactory.getLogger(ForwardingServer::class.java)
    }
}
