package org.hibiscusproxy.daemon.transport

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.hibiscusproxy.daemon.repeatGuarded
import org.hibiscusproxy.daemon.settings.ControllerAddress
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.ClaimAcknowledgement
import org.hibiscusproxy.protocol.ClaimAnswer
import org.hibiscusproxy.protocol.ClaimOutcome
import org.hibiscusproxy.protocol.ControlMessage
import org.hibiscusproxy.protocol.ControlRefusal
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.LeaseRefusal
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Maintains a single connection from a process to the fleet's controllers. It reconnects to the
 * leader when a controller names it, and to the next controller after a refusal that names no
 * leader, a lost connection or a request without a response.
 *
 * Concurrency: [pendingRequests] is a concurrent map, the current connection is a state flow and
 * [knownLeader] is volatile. No lock is held while another is acquired.
 *
 * @param component prefix of log lines
 * @param responseTimeout time to wait for one controller's response before trying another one
 * @param onConnected runs on each new connection before it is used for requests
 * @param onMessage receives messages that are not responses to a request; must not block
 */
class ControllerLink(
    private val component: String,
    private val transport: PeerTransport,
    private val controllers: List<ControllerAddress>,
    private val responseTimeout: Duration = 400.milliseconds,
    private val onConnected: suspend (PeerConnection) -> Unit,
    private val onMessage: suspend (ControlMessage) -> Unit,
) : AutoCloseable {
    private val pendingRequests = ConcurrentHashMap<Long, CompletableDeferred<ControlMessage>>()
    private val lastRequestNumber = AtomicLong()
    private val current = MutableStateFlow<PeerConnection?>(null)

    @Volatile
    private var knownLeader: ProcessName? = null

    init {
        require(controllers.isNotEmpty()) { "at least one controller is required" }
    }

    /** Connects, and reconnects after each disconnection, until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            var next = 0
            repeatGuarded(component) {
                val leaderIndex = controllers.indexOfFirst { it.name == knownLeader }
                knownLeader = null
                if (leaderIndex >= 0) next = leaderIndex
                val controller = controllers[next % controllers.size]
                next = (next + 1) % controllers.size
                connectAndReceive(controller)
            }
        }
    }

    /** Sends [message] on the current connection. Returns false when it was not queued. */
    suspend fun send(message: ControlMessage): Boolean = current.value?.send(message)?.isOk == true

    /**
     * Sends a request, repeating it on other controllers, until the leader responds or [timeout]
     * expires.
     *
     * @param buildRequest builds the message of one attempt from its request number
     * @return the response, or null on timeout
     */
    suspend fun request(
        timeout: Duration,
        buildRequest: (Long) -> ControlMessage,
    ): ControlMessage? {
        val deadline = TimeSource.Monotonic.markNow() + timeout
        while (true) {
            val remaining = -deadline.elapsedNow()
            if (remaining <= Duration.ZERO) return null
            val connection = withTimeoutOrNull(remaining) { current.filterNotNull().first() }
                ?: return null
            val response = requestOnce(
                connection,
                minOf(responseTimeout, -deadline.elapsedNow()),
                buildRequest,
            )
            val refusal = response?.refusal()
            if (response != null && refusal == null) return response
            disconnect(connection, refusal?.leader)
            if (refusal != null && refusal.leader == null) delay(NO_LEADER_RETRY_DELAY)
        }
    }

    override fun close() {
        current.value?.close()
    }

    private suspend fun connectAndReceive(controller: ControllerAddress) {
        val connection = transport.connect(controller.address).fold(
            { it },
            { failure ->
                LOG.info(
                    "{}: could not connect to controller {}: {}",
                    component,
                    controller.name,
                    failure,
                )
                delay(RECONNECT_DELAY)
                return
            },
        )
        LOG.info("{}: connected to controller {}", component, controller.name)
        connection.use {
            onConnected(connection)
            current.value = connection
            for (message in connection.incoming) {
                if (message is ControlMessage) dispatch(message)
            }
            current.compareAndSet(connection, null)
        }
    }

    private suspend fun dispatch(message: ControlMessage) {
        val response = message.requestNumber()?.let(pendingRequests::get)
        if (response == null) onMessage(message) else response.complete(message)
    }

    private suspend fun requestOnce(
        connection: PeerConnection,
        timeout: Duration,
        buildRequest: (Long) -> ControlMessage,
    ): ControlMessage? {
        val number = lastRequestNumber.incrementAndGet()
        val response = CompletableDeferred<ControlMessage>()
        pendingRequests[number] = response
        try {
            return withTimeoutOrNull(timeout) {
                connection.send(buildRequest(number)).get()?.let { response.await() }
            }
        } finally {
            pendingRequests.remove(number)
        }
    }

    private fun disconnect(connection: PeerConnection, leader: ProcessName?) {
        if (!current.compareAndSet(connection, null)) return
        knownLeader = leader
        connection.close()
    }

    private class Refusal(val leader: ProcessName?)

    private fun ControlMessage.refusal(): Refusal? = when (this) {
        is LeaseRefusal -> refusal(reason, leader)

        is ClaimAnswer -> (outcome as? ClaimOutcome.Refused)?.let { refusal(it.reason, it.leader) }

        is ClaimAcknowledgement -> refusal?.let { refusal(it, leader) }

        else -> null
    }

    private fun refusal(reason: ControlRefusal, leader: ProcessName?): Refusal? = when (reason) {
        ControlRefusal.NOT_LEADER, ControlRefusal.NO_MAJORITY -> Refusal(leader)
        ControlRefusal.UNKNOWN_TARGET,
        ControlRefusal.OTHER_INCARNATION,
        ControlRefusal.FULL,
        -> null
    }

    private fun ControlMessage.requestNumber(): Long? = when (this) {
        is LeaseGrant -> number
        is LeaseRefusal -> number
        is ClaimAnswer -> number
        is ClaimAcknowledgement -> number
        else -> null
    }

    private companion object {
        val RECONNECT_DELAY = 100.milliseconds
        val NO_LEADER_RETRY_DELAY = 50.milliseconds
        val LOG: Logger = LoggerFactory.getLogger(ControllerLink::class.java)
    }
}
