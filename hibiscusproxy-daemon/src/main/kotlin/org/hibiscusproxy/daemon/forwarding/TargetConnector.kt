package org.hibiscusproxy.daemon.forwarding

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import java.net.InetSocketAddress
import org.hibiscusproxy.model.NetworkAddress

/** Opens the network connections of a [TargetPool]. */
internal fun interface TargetConnector {
    /** Connects to [address] and has [initialize] set up the channel before it is used. */
    fun connect(address: NetworkAddress, initialize: (Channel) -> Unit): ChannelFuture
}

/** Opens TCP connections that are served by [loop]. */
internal class TcpTargetConnector(loop: EventLoop) : TargetConnector {
    private val bootstrap = Bootstrap()
        .group(loop)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)

    override fun connect(address: NetworkAddress, initialize: (Channel) -> Unit): ChannelFuture =
        bootstrap.clone()
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) = initialize(channel)
            })
            .connect(InetSocketAddress(address.host, address.port))

    private companion object {
        /** Targets are milliseconds away, and TCP resends a lost SYN only after a second. */
        const val CONNECT_TIMEOUT_MILLISECONDS = 300
    }
}
