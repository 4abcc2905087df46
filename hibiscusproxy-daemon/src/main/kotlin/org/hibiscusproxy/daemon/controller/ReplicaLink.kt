package org.hibiscusproxy.daemon.controller

import com.github.michaelbull.result.get
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineScope
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
 * Sends messages to one other controller over a connection that is reopened whenever it ends. The log
 * retransmits what it needs of the messages that [ReplicaQueue] drops.
 */
internal class ReplicaLink(
    private val peer: ControllerAddress,
    private val transport: PeerTransport,
) {
    private val outgoing = ReplicaQueue()

    fun send(message: ControlMessage) {
        outgoing.add(message)
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
            while (connection.send(outgoing.take()).isOk) Unit
            connection.close()
        }
        // The peer sends over its own link. Reading only detects the end of this connection.
        connection.incoming.consumeEach { }
        sender.cancel()
    }

    private companion object {
        val RECONNECT_DELAY = 100.milliseconds
    }
}
