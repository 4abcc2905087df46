package org.hibiscusproxy.daemon.transport

import com.github.michaelbull.result.Result
import kotlinx.coroutines.channels.ReceiveChannel
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.PeerMessage

/**
 * An authenticated connection to another process of the fleet, shared by everything that the two
 * say to each other. Safe to use from several coroutines.
 */
interface PeerConnection : AutoCloseable {
    /** What the other side said of itself in the handshake. */
    val remote: Hello

    /** Messages received, in order. Closed when the connection ends. */
    val incoming: ReceiveChannel<PeerMessage>

    /**
     * Queues [message] for sending. Suspends while too many bytes wait.
     *
     * @return [SendFailure] when the connection has ended; a message queued before may be lost
     */
    suspend fun send(message: PeerMessage): Result<Unit, SendFailure>

    /** Ends the connection at once; messages not yet sent are lost. */
    override fun close()
}
