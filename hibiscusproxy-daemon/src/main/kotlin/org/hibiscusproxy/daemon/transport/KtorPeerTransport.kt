package org.hibiscusproxy.daemon.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.micrometer.core.instrument.MeterRegistry
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.hibiscusproxy.daemon.openListener
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.protocol.Hello
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Transport over TCP with Ktor sockets, authenticated with the fleet key. An invalid frame or
 * handshake is counted and closes only the connection on which it arrived. Closing the transport
 * closes all of its connections and listeners.
 */
class KtorPeerTransport(
    private val hello: Hello,
    private val key: FleetKey,
    registry: MeterRegistry,
    private val settings: TransportSettings = TransportSettings(),
    dispatcher: CoroutineDispatcher = Dispatchers.IO,
) : PeerTransport,
    AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val selector = SelectorManager(dispatcher)
    private val counters = TransportCounters(registry)
    private val encoder = MessageEncoder()
    private val loggedAt = AtomicLong()
    private val pending = PendingHandshakes<AutoCloseable>(settings.pendingHandshakes)

    override suspend fun connect(address: NetworkAddress): Result<PeerConnection, ConnectFailure> {
        val socket = try {
            withTimeoutOrNull(settings.connectTimeout) {
                aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true }
            }
        } catch (failure: Exception) {
            currentCoroutineContext().ensureActive()
            return Err(ConnectFailure.Unreachable(address, failure.javaClass.simpleName))
        }
        if (socket == null) return Err(ConnectFailure.Unreachable(address, "connect timeout"))
        return when (val outcome = performHandshake(socket, isConnector = true)) {
            is HandshakeOutcome.Connected -> Ok(outcome.connection)
            is HandshakeOutcome.Failed -> Err(outcome.refusal.toFailure(address))
        }
    }

    override suspend fun listen(
        address: NetworkAddress,
        handle: suspend (PeerConnection) -> Unit,
    ): PeerListener {
        val server = openListener("transport", address) {
            aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
        }
        val listenerScope = CoroutineScope(
            scope.coroutineContext + SupervisorJob(scope.coroutineContext.job),
        )
        listenerScope.launch { acceptAll(server, listenerScope, handle) }
        val port = (server.localAddress as InetSocketAddress).port
        return object : PeerListener {
            override val address = NetworkAddress(address.host, port)

            override fun close() {
                listenerScope.cancel()
                server.close()
            }
        }
    }

    override fun close() {
        scope.cancel()
        selector.close()
    }

    private suspend fun acceptAll(
        server: ServerSocket,
        listenerScope: CoroutineScope,
        handle: suspend (PeerConnection) -> Unit,
    ) {
        while (listenerScope.isActive) {
            val socket = try {
                server.accept()
            } catch (failure: Exception) {
                listenerScope.ensureActive()
                if (!server.socketContext.isActive) return
                LOG.warn(
                    "transport: accepting a connection failed, retrying in {}: {}",
                    ACCEPT_RETRY_DELAY,
                    failure.toString(),
                )
                delay(ACCEPT_RETRY_DELAY)
                continue
            }
            // Before the coroutine starts, since a crowd is accepted faster than coroutines start.
            val entry = AutoCloseable { socket.close() }
            if (pending.add(entry)) counters.refused(FrameRefusal.TOO_MANY_HANDSHAKES)
            listenerScope.launch { handleConnection(socket, entry, handle) }
        }
    }

    private suspend fun handleConnection(
        socket: Socket,
        entry: AutoCloseable,
        handle: suspend (PeerConnection) -> Unit,
    ) {
        val outcome = try {
            performHandshake(socket, isConnector = false)
        } finally {
            pending.remove(entry)
        }
        if (outcome !is HandshakeOutcome.Connected) return
        outcome.connection.use { connection ->
            try {
                handle(connection)
            } catch (failure: Exception) {
                currentCoroutineContext().ensureActive()
                val process = connection.remote.process
                LOG.error("transport: handler failed, connection to {} closed", process, failure)
            }
        }
    }

    private sealed class HandshakeOutcome {
        class Connected(val connection: PeerConnection) : HandshakeOutcome()

        class Failed(val refusal: FrameRefusal) : HandshakeOutcome()
    }

    private suspend fun performHandshake(socket: Socket, isConnector: Boolean): HandshakeOutcome {
        val liveness = LivenessMonitor()
        var session: Handshake.Session? = null
        var refusal = FrameRefusal.HANDSHAKE_TIMEOUT
        try {
            withTimeoutOrNull(settings.handshakeTimeout) {
                session = exchangeHandshake(socket, isConnector, liveness)
                refusal = FrameRefusal.HANDSHAKE
            }
        } finally {
            if (session == null) socket.close()
        }
        val completed = session
        if (completed == null) {
            counters.refused(refusal)
            logFailure(socket, refusal)
            return HandshakeOutcome.Failed(refusal)
        }
        val connection =
            KtorPeerConnection(socket, liveness, completed, settings, counters, encoder, scope)
        return HandshakeOutcome.Connected(connection)
    }

    /** Logs a failed handshake, at most one in [LOG_INTERVAL]; all are counted. */
    private fun logFailure(socket: Socket, refusal: FrameRefusal) {
        val now = System.nanoTime()
        val last = loggedAt.get()
        if (last != 0L && now - last < LOG_INTERVAL.inWholeNanoseconds) return
        if (!loggedAt.compareAndSet(last, now)) return
        LOG.warn("transport: handshake with {} failed: {}", socket.remoteAddressText(), refusal)
    }

    private suspend fun exchangeHandshake(
        socket: Socket,
        isConnector: Boolean,
        liveness: LivenessMonitor,
    ): Handshake.Session? {
        val handshake = Handshake(key, hello, settings)
        val open = { socket.openReadChannel() to socket.openWriteChannel(autoFlush = false) }
        return try {
            if (isConnector) {
                val (input, output) = open()
                handshake.connect(input, output, liveness::recordReceived)
            } else {
                val raw = RawSocket(selector, socket as Selectable)
                handshake.accept(raw, open, liveness::recordReceived)
            }
        } catch (failure: Exception) {
            currentCoroutineContext().ensureActive()
            LOG.debug("transport: handshake aborted: {}", failure.toString())
            null
        }
    }

    private fun Socket.remoteAddressText(): String =
        runCatching { remoteAddress.toString() }.getOrDefault("a closed connection")

    private fun FrameRefusal.toFailure(address: NetworkAddress): ConnectFailure = when (this) {
        FrameRefusal.HANDSHAKE_TIMEOUT -> ConnectFailure.HandshakeTimeout(address)
        else -> ConnectFailure.NotAuthenticated(address)
    }

    private companion object {
        /** Prevents a busy loop when the process is out of file descriptors. */
        val ACCEPT_RETRY_DELAY = 50.milliseconds

        /** Strangers that connect all the time would otherwise fill the log. */
        val LOG_INTERVAL = 50.milliseconds
        val LOG: Logger = LoggerFactory.getLogger(KtorPeerTransport::class.java)
    }
}
