package org.hibiscusproxy.daemon.controller

import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.PeerMessage

/**
 * A connection of another process as the controller's worker sees it. Sending never blocks: a
 * session whose messages are not taken fast enough is closed, and the process connects again.
 */
interface PeerSession {
    /** What the process said of itself. */
    val remote: Hello

    /** Queues [message]; does nothing after the connection has ended. */
    fun send(message: PeerMessage)

    /** Ends the connection. */
    fun close()
}
