package org.hibiscusproxy.daemon.transport

import com.github.michaelbull.result.Result
import kotlinx.coroutines.channels.ReceiveChannel
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.PeerMessage

/**
 * An authenticated connection to another process of the fleet, which carries all messages between
 * the two processes. Safe for concurrent use.
 */
interface PeerConnection : AutoCloseable {
    /** Identity that the peer sent in the handshake. */
    val remote: Hello

    /** Received messages, in order. Closed when the connection ends. */
    val incoming: ReceiveChannel<PeerMessage>

    /**
     * Queues [message] for sending. Suspends while the send queue is full.
     *
     * @return a [SendFailure] when the message was not queued; a queued message is lost when the
     *   connection ends before it is sent
     */
    suspend fun send(message: PeerMessage): Result<Unit, SendFailure>

    /** Closes the connection immediately; queued messages are lost. */
    override fun close()
}
