package org.hibiscusproxy.daemon.controller

import com.github.michaelbull.result.get
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.consumeEach
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hibiscusproxy.daemon.repeatGuarded
import org.hibiscusproxy.daemon.settings.ControllerAddress
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.daemon.transport.PeerTransport
import org.hibiscusproxy.protocol.ControlMessage

/**
 * Sends messages to one other controller over a connection that is reopened whenever it ends. If the
 * queue is full, the oldest message is dropped; the log retransmits what it needs.
 */
internal class ReplicaLink(
    private val peer: ControllerAddress,
    private val transport: PeerTransport,
) {
    private val outgoing = Channel<ControlMessage>(QUEUE_CAPACITY, BufferOverflow.DROP_OLDEST)

    fun send(message: ControlMessage) {
        outgoing.trySend(message)
    }

    /** Keeps the connection open until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            repeatGuarded("controller") {
                transport.connect(peer.address).get()?.use { serve(it) }
                delay(RECONNECT_DELAY)
            }
        }
    }

    private suspend fun serve(connection: PeerConnection) = coroutineScope {
        val sender = launch {
            for (message in outgoing) {
                if (connection.send(message).isErr) break
            }
            connection.close()
        }
        // The peer sends over its own link. Reading only detects the end of this connection.
        connection.incoming.consumeEach { }
        sender.cancel()
    }

    private companion object {
        const val QUEUE_CAPACITY = 1_024
        val RECONNECT_DELAY = 100.milliseconds
    }
}
