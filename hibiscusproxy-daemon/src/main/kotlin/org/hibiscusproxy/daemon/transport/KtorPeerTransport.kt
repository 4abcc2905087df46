package org.hibiscusproxy.daemon.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.micrometer.core.instrument.MeterRegistry
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
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.protocol.Hello
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Connections over TCP by Ktor sockets, authenticated with the fleet key. A faulty frame or
 * handshake ends only the connection it came on and is counted. Closing the transport ends all of
 * its connections and listeners.
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
        return when (val outcome = agree(socket, isConnector = true)) {
            is Outcome.Connected -> Ok(outcome.connection)
            is Outcome.Failed -> Err(outcome.refusal.toFailure(address))
        }
    }

    override suspend fun listen(
        address: NetworkAddress,
        handle: suspend (PeerConnection) -> Unit,
    ): PeerListener {
        val server = aSocket(selector).tcp().bind(address.host, address.port) {
            reuseAddress = true
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
                LOG.warn("transport: accept failed: {}", failure.toString())
                delay(ACCEPT_PAUSE)
                continue
            }
            listenerScope.launch { serve(socket, handle) }
        }
    }

    private suspend fun serve(socket: Socket, handle: suspend (PeerConnection) -> Unit) {
        val outcome = agree(socket, isConnector = false)
        if (outcome !is Outcome.Connected) return
        outcome.connection.use { connection ->
            try {
                handle(connection)
            } catch (failure: Exception) {
                currentCoroutineContext().ensureActive()
                val process = connection.remote.process
                LOG.error("transport: handler of connection from {} failed", process, failure)
            }
        }
    }

    private sealed class Outcome {
        class Connected(val connection: PeerConnection) : Outcome()

        class Failed(val refusal: FrameRefusal) : Outcome()
    }

    private suspend fun agree(socket: Socket, isConnector: Boolean): Outcome {
        val liveness = Liveness()
        var agreed: Handshake.Agreed? = null
        var refusal = FrameRefusal.HANDSHAKE_TIMEOUT
        try {
            withTimeoutOrNull(settings.handshakeTimeout) {
                agreed = shakeHands(socket, isConnector, liveness)
                refusal = FrameRefusal.HANDSHAKE
            }
        } finally {
            if (agreed == null) socket.close()
        }
        val complete = agreed
        if (complete == null) {
            counters.refused(refusal)
            LOG.warn("transport: {} with {} failed", refusal, socket.remoteAddressText())
            return Outcome.Failed(refusal)
        }
        val connection =
            KtorPeerConnection(socket, liveness, complete, settings, counters, scope)
        return Outcome.Connected(connection)
    }

    private suspend fun shakeHands(
        socket: Socket,
        isConnector: Boolean,
        liveness: Liveness,
    ): Handshake.Agreed? {
        val handshake = Handshake(key, hello, settings)
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel(autoFlush = false)
        return try {
            if (isConnector) {
                handshake.connect(input, output, liveness::progress)
            } else {
                handshake.accept(input, output, liveness::progress)
            }
        } catch (failure: Exception) {
            currentCoroutineContext().ensureActive()
            LOG.debug("transport: handshake ended: {}", failure.toString())
            null
        }
    }

    private fun Socket.remoteAddressText(): String =
        runCatching { remoteAddress.toString() }.getOrDefault("an ended connection")

    private fun FrameRefusal.toFailure(address: NetworkAddress): ConnectFailure = when (this) {
        FrameRefusal.HANDSHAKE_TIMEOUT -> ConnectFailure.HandshakeTimeout(address)
        else -> ConnectFailure.NotAuthenticated(address)
    }

    private companion object {
        /** Keeps a listener that is out of file descriptors from spinning. */
        val ACCEPT_PAUSE = 50.milliseconds
        val LOG: Logger = LoggerFactory.getLogger(KtorPeerTransport::class.java)
    }
}
