package org.hibiscusproxy.daemon.forwarding

import com.github.michaelbull.result.get
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hibiscusproxy.daemon.repeatGuarded
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.daemon.transport.PeerTransport
import org.hibiscusproxy.forwarding.ControllerClock
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.ControlMessage
import org.hibiscusproxy.protocol.CrashEvidence
import org.hibiscusproxy.protocol.CrashSuspects
import org.hibiscusproxy.protocol.EntryLoad
import org.hibiscusproxy.protocol.FleetLoad
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.RefusalList
import org.hibiscusproxy.protocol.RoutingChange
import org.hibiscusproxy.protocol.RoutingCurrent
import org.hibiscusproxy.protocol.RoutingRequest
import org.hibiscusproxy.protocol.RoutingUpdate
import org.hibiscusproxy.protocol.StreamAnswer
import org.hibiscusproxy.protocol.TargetList
import org.slf4j.LoggerFactory

/**
 * Receives routing, targets and load from all controllers concurrently, so that a partitioned
 * controller delays nothing. Controllers other than the [initialControllers] are discovered through
 * those. A controller that cannot be reached is retried with an increasing delay.
 *
 * Thread safety: [subscriptions] is a concurrent map; no lock is held while another is acquired.
 *
 * @param peerPort port of every controller's listener for processes of the fleet
 * @param knownRevision returns the revision of the active routing
 * @param onMessage called with each message and the clock of its controller; must not block
 * @param onLeaderFound called when a controller reports being the leader and did not before
 */
internal class ControllerFeed(
    private val initialControllers: List<ProcessName>,
    private val peerPort: Int?,
    private val transport: PeerTransport,
    private val scope: CoroutineScope,
    private val knownRevision: () -> Long,
    private val onMessage: (PeerMessage, ControllerClock) -> Unit,
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val onLeaderFound: () -> Unit = {},
) {
    private val subscriptions = ConcurrentHashMap<ProcessName, Subscription>()
    private val requests = RoutingRequestLimiter(time)

    fun start() = initialControllers.forEach(::follow)

    /** Connects to [controllers] that are not known yet, for example after a settings reload. */
    fun follow(controllers: List<ProcessName>) = controllers.forEach(::follow)

    /** Sends [load] to the controllers that last reported being the leader. */
    suspend fun report(load: EntryLoad) = sendToLeader(load)

    /** Sends [message] to the controllers that last reported being the leader. */
    suspend fun sendToLeader(message: ControlMessage) =
        subscriptions.values.filter { it.isLeading }.forEach { it.connection?.send(message) }

    /** Sends [message] to all connected controllers. */
    suspend fun sendToAll(message: ControlMessage) =
        subscriptions.values.forEach { it.connection?.send(message) }

    /**
     * Sends evidence of crashes to each controller that lacks some.
     *
     * @param latest number of the latest evidence
     * @param evidenceAfter returns the evidence with higher numbers than the given one
     */
    suspend fun shareEvidence(latest: Long, evidenceAfter: suspend (Long) -> CrashEvidence?) {
        for (subscription in subscriptions.values) {
            val connection = subscription.connection ?: continue
            if (subscription.sentEvidence >= latest) continue
            val evidence = evidenceAfter(subscription.sentEvidence)
            if (subscription.connection !== connection) continue
            subscription.sentEvidence = latest
            evidence?.let { connection.send(it) }
        }
    }

    private fun follow(controller: ProcessName) {
        subscriptions.computeIfAbsent(controller) { name ->
            Subscription(name, address(name)).also { it.job = scope.launch { it.run() } }
        }
    }

    private fun address(name: ProcessName): NetworkAddress {
        val named = NetworkAddress.parse(name.value)
        return if (peerPort == null) named else named.copy(port = peerPort)
    }

    private inner class Subscription(
        private val name: ProcessName,
        private val address: NetworkAddress,
    ) {
        var job: Job? = null

        @Volatile
        var connection: PeerConnection? = null

        @Volatile
        var isLeading = false

        /** Number of the latest evidence of crashes sent on the present connection. */
        @Volatile
        var sentEvidence = 0L
        private var retryDelay: Duration = MINIMUM_RETRY_DELAY
        private var wasConnected = false

        suspend fun run(): Nothing {
            repeatGuarded("forwarder") {
                val newConnection = transport.connect(address).get()
                if (newConnection == null) {
                    markDisconnected("connection failed")
                    retryDelay = nextRetryDelay()
                } else {
                    use(newConnection)
                    markDisconnected("connection closed")
                }
                delay(retryDelay * (1 + Random.nextDouble()))
            }
        }

        /** Retries quickly until routing is received, because requests wait for it. */
        private fun nextRetryDelay(): Duration = when (knownRevision()) {
            0L -> STARTUP_RETRY_DELAY
            else -> minOf(retryDelay * 2, MAXIMUM_RETRY_DELAY)
        }

        private suspend fun use(newConnection: PeerConnection) = newConnection.use {
            wasConnected = true
            retryDelay = MINIMUM_RETRY_DELAY
            LOG.info("forwarder: event=controller-reached name={}", name)
            newConnection.send(RoutingRequest(knownRevision()))
            sentEvidence = 0
            connection = newConnection
            val clock = ControllerClock(name, newConnection.remote.incarnation, time)
            for (message in newConnection.incoming) handle(newConnection, message, clock)
        }

        private suspend fun handle(
            newConnection: PeerConnection,
            message: PeerMessage,
            clock: ControllerClock,
        ) {
            if (message is RoutingCurrent) {
                val isNewLeader = message.isLeading && !isLeading
                isLeading = message.isLeading
                if (isNewLeader) onLeaderFound()
                follow(message.controllers)
                val known = knownRevision()
                if (requests.mayRequest(message.revision, known, isNewLeader)) {
                    newConnection.send(RoutingRequest(known))
                }
            }
            if (message is RoutingUpdate && knownRevision() == 0L) {
                LOG.info(
                    "forwarder: event=first-routing revision={} controller={} leading={}",
                    message.revision,
                    name,
                    isLeading,
                )
            }
            when (message) {
                is RoutingCurrent, is RoutingUpdate, is RoutingChange -> onMessage(message, clock)
                is TargetList, is FleetLoad -> onMessage(message, clock)
                is CrashSuspects, is RefusalList, is StreamAnswer -> onMessage(message, clock)
                else -> Unit
            }
        }

        private fun markDisconnected(cause: String) {
            connection = null
            isLeading = false
            if (!wasConnected) return
            wasConnected = false
            LOG.warn("forwarder: event=controller-lost name={} cause=\"{}\"", name, cause)
        }
    }

    private companion object {
        val MINIMUM_RETRY_DELAY = 100.milliseconds

        /** Limits the number of attempts to reach controllers that were removed permanently. */
        val MAXIMUM_RETRY_DELAY = 300.milliseconds

        /** Adds at most 0.1 s to the wait of callers; a refused connection attempt is cheap. */
        val STARTUP_RETRY_DELAY = 50.milliseconds
        val LOG = LoggerFactory.getLogger(ControllerFeed::class.java)
    }
}
