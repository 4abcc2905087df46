package org.hibiscusproxy.daemon.forwarding

import io.netty.channel.socket.nio.NioServerSocketChannel

/**
 * A listening channel that can accept the connections that wait in the kernel's queue before it is
 * closed. Linux resets those that nobody has accepted by then.
 */
internal class CallerListener : NioServerSocketChannel() {
    /** Accepts at most [limit] waiting connections. Called on the event loop. */
    fun acceptQueued(limit: Int) {
        val accepted = ArrayList<Any>()
        while (accepted.size < limit && doReadMessages(accepted) > 0) continue
        accepted.forEach { pipeline().fireChannelRead(it) }
        pipeline().fireChannelReadComplete()
    }
}
