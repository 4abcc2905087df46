package org.hibiscusproxy.daemon.entry

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError
import io.micrometer.core.instrument.Counter
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.daemon.transport.PeerTransport
import org.hibiscusproxy.daemon.transport.SendFailure
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.placement.LoadTable
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.Cancel
import org.hibiscusproxy.protocol.DataMessage
import org.hibiscusproxy.protocol.Dispatch
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LoadReport
import org.hibiscusproxy.protocol.NotRun
import org.hibiscusproxy.protocol.ResponseBroken
import org.hibiscusproxy.protocol.ResponseEnd
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * The only connection to the sidecar of [target], opened on demand. Answers are matched by attempt
 * and by the connection on which the attempt was sent; others are dropped and counted.
 *
 * [connectMutex] is held while a connection is opened; only locks of the transport are acquired
 * while it is held. The relays of a connection are in a concurrent map.
 */
internal class SidecarLink(
    private val target: Target,
    private val transport: PeerTransport,
    private val loads: LoadTable,
    private val scope: CoroutineScope,
    private val droppedMessages: Counter,
) : AutoCloseable {
    /** Result of [dispatch]. */
    enum class SendResult {
        /** The dispatch was queued on the connection and may run. */
        QUEUED,

        /** No connection could be opened, or it closed before the dispatch; nothing ran. */
        UNREACHABLE,

        /** The message exceeds the frame limit; nothing ran. */
        TOO_LARGE,
    }

    private inner class OpenConnection(val connection: PeerConnection) {
        val relays = ConcurrentHashMap<Attempt, AnswerRelay>()

        @Volatile
        var isClosed = false

        suspend fun receive() {
            try {
                for (message in connection.incoming) {
                    if (message is DataMessage) process(message)
                }
            } finally {
                isClosed = true
                connection.close()
                relays.values.forEach { it.onConnectionLost() }
            }
        }

        private fun process(message: DataMessage) {
            message.load()?.let { loads.recordReport(target.name, it) }
            val relay = relays[message.attempt]
            if (relay == null) return droppedMessages.increment()
            try {
                if (!relay.receive(message)) droppedMessages.increment()
            } catch (failure: Exception) {
                LOG.warn("entry: failed to relay answer to {}", message.attempt, failure)
                relay.stop(AttemptOutcome.CallerDisconnected)
            }
        }
    }

    private val connectMutex = Mutex()

    @Volatile
    private var current: OpenConnection? = null

    @Volatile
    private var lastFailureAt: TimeMark? = null

    /**
     * Sends the message that [dispatch] builds for the sidecar's current incarnation; answers go to
     * [relay]. [unregister] must be called after the attempt has ended.
     */
    suspend fun dispatch(relay: AnswerRelay, dispatch: (Incarnation) -> Dispatch): SendResult {
        val link = connected() ?: return SendResult.UNREACHABLE
        link.relays[relay.attempt] = relay
        val message = dispatch(link.connection.remote.incarnation)
        val failure = link.connection.send(message).getError()
        if (failure != null) {
            link.relays.remove(relay.attempt)
            return when (failure) {
                is SendFailure.MessageTooLarge -> SendResult.TOO_LARGE
                else -> SendResult.UNREACHABLE
            }
        }
        if (link.isClosed) relay.onConnectionLost()
        return SendResult.QUEUED
    }

    /** Removes [relay], whose attempt has ended; later messages about the attempt are dropped. */
    fun unregister(relay: AnswerRelay) {
        current?.relays?.remove(relay.attempt, relay)
    }

    /** Sends [message] in the background without waiting for an answer. It may be lost. */
    fun sendInBackground(message: DataMessage) {
        scope.launch { connected()?.connection?.send(message) }
    }

    /** Asks the sidecar to stop the attempt of [relay]. */
    fun cancel(relay: AnswerRelay) {
        val link = current ?: return
        if (link.relays[relay.attempt] !== relay) return
        scope.launch { link.connection.send(Cancel(relay.attempt)) }
    }

    override fun close() {
        current?.connection?.close()
    }

    private suspend fun connected(): OpenConnection? {
        current?.takeUnless { it.isClosed }?.let { return it }
        return connectMutex.withLock {
            val present = current?.takeUnless { it.isClosed }
            when {
                present != null -> present
                lastFailureAt?.let { it.elapsedNow() < RECONNECT_DELAY } == true -> null
                else -> connect().also { current = it }
            }
        }
    }

    private suspend fun connect(): OpenConnection? {
        val connection = transport.connect(target.sidecar).fold(
            { it },
            { failure ->
                LOG.info("entry: failed to connect to sidecar of {}: {}", target.name, failure)
                lastFailureAt = TimeSource.Monotonic.markNow()
                return null
            },
        )
        if (connection.remote.target != target.name) {
            val found = connection.remote.target
            LOG.error(
                "entry: sidecar at {} serves target {}, expected {}",
                target.sidecar,
                found,
                target.name,
            )
            lastFailureAt = TimeSource.Monotonic.markNow()
            connection.close()
            return null
        }
        return OpenConnection(connection).also { scope.launch { it.receive() } }
    }

    private fun DataMessage.load(): LoadReport? = when (this) {
        is NotRun -> load
        is ResponseEnd -> load
        is ResponseBroken -> load
        else -> null
    }

    private companion object {
        /** Meanwhile requests go elsewhere instead of waiting for another connection timeout. */
        val RECONNECT_DELAY = 250.milliseconds
        val LOG: Logger = LoggerFactory.getLogger(SidecarLink::class.java)
    }
}
