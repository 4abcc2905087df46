package org.hibiscusproxy.daemon.controller

import com.github.michaelbull.result.get
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.consumeEach
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.hibiscusproxy.daemon.settings.ControllerAddress
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.daemon.transport.PeerTransport
import org.hibiscusproxy.protocol.ControlMessage

/**
 * Carries messages to one other controller over a connection that this side opens again whenever
 * it ends. Messages that wait too long are dropped, oldest first; the log sends anew what it needs.
 */
internal class ReplicaLink(
    private val peer: ControllerAddress,
    private val transport: PeerTransport,
) {
    private val outgoing = Channel<ControlMessage>(MAXIMUM_WAITING, BufferOverflow.DROP_OLDEST)

    fun send(message: ControlMessage) {
        outgoing.trySend(message)
    }

    /** Keeps the connection open until the scope ends. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (isActive) {
                transport.connect(peer.address).get()?.use { pump(it) }
                delay(RECONNECT_PAUSE)
            }
        }
    }

    private suspend fun pump(connection: PeerConnection) = coroutineScope {
        val sender = launch {
            for (message in outgoing) {
                if (connection.send(message).isErr) break
            }
            connection.close()
        }
        // The peer sends over its own link; reading here only notices the end of the connection.
        connection.incoming.consumeEach { }
        sender.cancel()
    }

    private companion object {
        const val MAXIMUM_WAITING = 1_024
        val RECONNECT_PAUSE = 100.milliseconds
    }
}
