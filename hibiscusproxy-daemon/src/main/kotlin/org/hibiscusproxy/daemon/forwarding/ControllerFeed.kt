package org.hibiscusproxy.daemon.forwarding

import com.github.michaelbull.result.get
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.daemon.transport.PeerTransport
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.EntryLoad
import org.hibiscusproxy.protocol.FleetLoad
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.RoutingChange
import org.hibiscusproxy.protocol.RoutingCurrent
import org.hibiscusproxy.protocol.RoutingRequest
import org.hibiscusproxy.protocol.RoutingUpdate
import org.hibiscusproxy.protocol.TargetList
import org.slf4j.LoggerFactory

/**
 * Follows all controllers at once, so that a partitioned one delays nothing.
 * Controllers beside the [seeds] become known from those; one that cannot be reached is retried
 * with a growing pause.
 *
 * Table: [links] is a concurrent map; no lock is held while another is taken.
 *
 * @param peerPort port of every controller's listener for processes of the fleet
 * @param knownRevision revision of the routing in force here
 * @param receive takes each message; must not block
 */
internal class ControllerFeed(
    private val seeds: List<ProcessName>,
    private val peerPort: Int?,
    private val transport: PeerTransport,
    private val scope: CoroutineScope,
    private val knownRevision: () -> Long,
    private val receive: (PeerMessage) -> Unit,
) {
    private val links = ConcurrentHashMap<ProcessName, Link>()

    fun start() = seeds.forEach(::follow)

    /** Follows further [controllers], as after the settings changed. */
    fun follow(controllers: List<ProcessName>) = controllers.forEach(::follow)

    /** Sends [load] to the controllers that lead, as they last said. */
    suspend fun report(load: EntryLoad) {
        links.values.filter { it.isLeading }.forEach { it.connection?.send(load) }
    }

    private fun follow(controller: ProcessName) {
        links.computeIfAbsent(controller) { name ->
            Link(name, address(name)).also { link -> link.job = scope.launch { link.run() } }
        }
    }

    private fun address(name: ProcessName): NetworkAddress {
        val named = NetworkAddress.parse(name.value)
        return if (peerPort == null) named else named.copy(port = peerPort)
    }

    private inner class Link(private val name: ProcessName, private val address: NetworkAddress) {
        var job: Job? = null

        @Volatile
        var connection: PeerConnection? = null

        @Volatile
        var isLeading = false
        private var pause: Duration = SHORTEST_PAUSE
        private var wasReached = false

        suspend fun run() {
            while (scope.isActive) {
                val opened = transport.connect(address).get()
                if (opened == null) {
                    lost("not reached")
                    pause = nextPause()
                } else {
                    use(opened)
                    lost("connection ended")
                }
                delay(pause * (1 + Random.nextDouble()))
            }
        }

        /** Requests wait here until the first controller is reached, which may be starting too. */
        private fun nextPause(): Duration =
            if (knownRevision() == 0L) UNSERVED_PAUSE else minOf(pause * 2, LONGEST_PAUSE)

        private suspend fun use(opened: PeerConnection) = opened.use {
            wasReached = true
            pause = SHORTEST_PAUSE
            LOG.info("forwarder: event=controller-reached name={}", name)
            opened.send(RoutingRequest(knownRevision()))
            connection = opened
            for (message in opened.incoming) take(opened, message)
        }

        private suspend fun take(opened: PeerConnection, message: PeerMessage) {
            if (message is RoutingCurrent) {
                isLeading = message.isLeading
                follow(message.controllers)
                val known = knownRevision()
                if (message.revision > known) opened.send(RoutingRequest(known))
            }
            when (message) {
                is RoutingUpdate, is RoutingChange, is TargetList, is FleetLoad -> receive(message)
                else -> Unit
            }
        }

        private fun lost(cause: String) {
            connection = null
            isLeading = false
            if (!wasReached) return
            wasReached = false
            LOG.warn("forwarder: event=controller-lost name={} cause=\"{}\"", name, cause)
        }
    }

    private companion object {
        val SHORTEST_PAUSE = 100.milliseconds

        /** Bounds the attempts to reach controllers that are gone for good. */
        val LONGEST_PAUSE = 300.milliseconds

        /** Adds at most a tenth of a second to the wait of callers; a refused attempt costs little. */
        val UNSERVED_PAUSE = 50.milliseconds
        val LOG = LoggerFactory.getLogger(ControllerFeed::class.java)
    }
}
