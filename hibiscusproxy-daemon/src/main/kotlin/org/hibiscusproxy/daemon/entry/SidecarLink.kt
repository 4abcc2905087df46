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
 * The one connection to the sidecar of [target], opened when it is needed. Answers are matched by
 * attempt and by the connection on which the attempt was sent; others are dropped and counted.
 *
 * [opening] is held while a connection is opened, and no other lock is taken under it but those
 * of the transport. The relays of a connection are in a concurrent map.
 */
internal class SidecarLink(
    private val target: Target,
    private val transport: PeerTransport,
    private val loads: LoadTable,
    private val scope: CoroutineScope,
    private val dropped: Counter,
) : AutoCloseable {
    /** Whether a dispatch went out. */
    enum class Sent {
        /** It was queued on the connection and may run. */
        YES,

        /** No connection could be made or the connection had ended; nothing ran. */
        UNREACHABLE,

        /** The message is over the frame limit; nothing ran. */
        TOO_LARGE,
    }

    private inner class Open(val connection: PeerConnection) {
        val relays = ConcurrentHashMap<Attempt, AnswerRelay>()

        @Volatile
        var isEnded = false

        suspend fun receive() {
            try {
                for (message in connection.incoming) {
                    if (message is DataMessage) take(message)
                }
            } finally {
                isEnded = true
                connection.close()
                relays.values.forEach { it.connectionLost() }
            }
        }

        private fun take(message: DataMessage) {
            message.load()?.let { loads.recordReport(target.name, it) }
            val relay = relays[message.attempt]
            if (relay == null) return dropped.increment()
            try {
                if (!relay.take(message)) dropped.increment()
            } catch (failure: Exception) {
                LOG.warn("entry: answer to {} not relayed", message.attempt, failure)
                relay.stop(AttemptOutcome.CallerGone)
            }
        }
    }

    private val opening = Mutex()

    @Volatile
    private var open: Open? = null

    @Volatile
    private var failedAt: TimeMark? = null

    /**
     * Sends what [dispatch] builds for the sidecar's present incarnation; its answer goes to
     * [relay]. [forget] must follow when the attempt has ended.
     */
    suspend fun dispatch(relay: AnswerRelay, dispatch: (Incarnation) -> Dispatch): Sent {
        val link = connected() ?: return Sent.UNREACHABLE
        link.relays[relay.attempt] = relay
        val message = dispatch(link.connection.remote.incarnation)
        val failure = link.connection.send(message).getError()
        if (failure != null) {
            link.relays.remove(relay.attempt)
            return when (failure) {
                is SendFailure.MessageTooLarge -> Sent.TOO_LARGE
                else -> Sent.UNREACHABLE
            }
        }
        if (link.isEnded) relay.connectionLost()
        return Sent.YES
    }

    /** The attempt of [relay] has ended; later messages about it are dropped. */
    fun forget(relay: AnswerRelay) {
        open?.relays?.remove(relay.attempt, relay)
    }

    /** Sends [message], which needs no answer, in the background. It may be lost. */
    fun tell(message: DataMessage) {
        scope.launch { connected()?.connection?.send(message) }
    }

    /** Asks the sidecar to stop the attempt of [relay]. */
    fun cancel(relay: AnswerRelay) {
        val link = open ?: return
        if (link.relays[relay.attempt] !== relay) return
        scope.launch { link.connection.send(Cancel(relay.attempt)) }
    }

    override fun close() {
        open?.connection?.close()
    }

    private suspend fun connected(): Open? {
        open?.takeUnless { it.isEnded }?.let { return it }
        return opening.withLock {
            val present = open?.takeUnless { it.isEnded }
            when {
                present != null -> present
                failedAt?.let { it.elapsedNow() < FAILURE_MEMORY } == true -> null
                else -> connect().also { open = it }
            }
        }
    }

    private suspend fun connect(): Open? {
        val connection = transport.connect(target.sidecar).fold(
            { it },
            { failure ->
                LOG.info("entry: sidecar of {} not reached: {}", target.name, failure)
                failedAt = TimeSource.Monotonic.markNow()
                return null
            },
        )
        if (connection.remote.target != target.name) {
            val found = connection.remote.target
            LOG.error("entry: {} answers for {}, not {}", target.sidecar, found, target.name)
            failedAt = TimeSource.Monotonic.markNow()
            connection.close()
            return null
        }
        return Open(connection).also { scope.launch { it.receive() } }
    }

    private fun DataMessage.load(): LoadReport? = when (this) {
        is NotRun -> load
        is ResponseEnd -> load
        is ResponseBroken -> load
        else -> null
    }

    private companion object {
        /** Requests meanwhile go elsewhere at once instead of waiting for another timeout. */
        val FAILURE_MEMORY = 250.milliseconds
        val LOG: Logger = LoggerFactory.getLogger(SidecarLink::class.java)
    }
}
