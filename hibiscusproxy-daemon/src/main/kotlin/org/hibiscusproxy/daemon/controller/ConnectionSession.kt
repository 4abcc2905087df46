package org.hibiscusproxy.daemon.controller

import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.PeerMessage
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Connects an accepted connection to the worker's input queue. */
internal class ConnectionSession(private val connection: PeerConnection) : PeerSession {
    private val outgoing = Channel<PeerMessage>(OUTGOING_CAPACITY)
    private val waiting = AtomicInteger()

    override val remote: Hello get() = connection.remote

    override val isBacklogged: Boolean get() = waiting.get() > BACKLOG_MESSAGES

    override fun send(message: PeerMessage) {
        waiting.incrementAndGet()
        if (outgoing.trySend(message).isSuccess) return
        if (outgoing.close()) {
            LOG.warn(
                "controller: {} reads too slowly: {} messages queued, connection closed",
                remote.process,
                OUTGOING_CAPACITY,
            )
            connection.close()
        }
    }

    override fun close() = connection.close()

    /** Transfers messages in both directions until the connection ends. */
    suspend fun run(submit: suspend (ControllerInput) -> Unit) {
        try {
            coroutineScope {
                val sender = launch { sendAll() }
                for (message in connection.incoming) {
                    submit(ControllerInput.Received(this@ConnectionSession, message))
                }
                sender.cancel()
            }
        } finally {
            outgoing.close()
            withContext(NonCancellable) {
                submit(ControllerInput.Disconnected(this@ConnectionSession))
            }
        }
    }

    private suspend fun sendAll() {
        for (message in outgoing) {
            if (connection.send(message).isErr) return
            waiting.decrementAndGet()
        }
    }

    private companion object {
        /**
         * Equals the capacity of the worker's input queue: one cycle answers a whole batch, so a
         * smaller capacity would close the connection of an entry with many pending claims.
         */
        const val OUTGOING_CAPACITY = 4_096

        /** Bounds the routing changes that are held for an entry that reads slowly. */
        const val BACKLOG_MESSAGES = 4
        val LOG: Logger = LoggerFactory.getLogger(ConnectionSession::class.java)
    }
}
