package org.hibiscusproxy.daemon.controller

import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.PeerMessage

/**
 * The controller's side of a connection with another process. Sending never blocks: if the process
 * reads too slowly, the session is closed and the process has to reconnect.
 */
interface PeerSession {
    /** Handshake message of the remote process. */
    val remote: Hello

    /** Whether messages sent earlier still wait, so that a further large one should wait as well. */
    val isBacklogged: Boolean get() = false

    /** Queues [message] for sending. Does nothing once the connection has ended. */
    fun send(message: PeerMessage)

    /** Closes the connection. */
    fun close()
}
