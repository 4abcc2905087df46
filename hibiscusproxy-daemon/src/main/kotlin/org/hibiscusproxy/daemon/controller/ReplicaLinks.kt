package org.hibiscusproxy.daemon.controller

import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import org.hibiscusproxy.daemon.settings.ControllerAddress
import org.hibiscusproxy.daemon.transport.PeerTransport
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.ControlMessage
import org.slf4j.LoggerFactory

/**
 * Links to the other controllers. If controllers are named by their addresses, the link to one that
 * the settings do not list is opened with the first message to it.
 */
internal class ReplicaLinks(
    listed: List<ControllerAddress>,
    private val transport: PeerTransport,
    private val scope: CoroutineScope,
    private val areNamesAddresses: Boolean,
    private val peerPort: Int?,
) {
    private val links = ConcurrentHashMap<ProcessName, ReplicaLink>()

    init {
        listed.forEach { links[it.name] = link(it.name, it.address) }
    }

    fun start() = links.values.forEach { it.start(scope) }

    fun send(receiver: ProcessName, message: ControlMessage) {
        val link = links[receiver] ?: open(receiver) ?: return
        link.send(message)
    }

    private fun open(receiver: ProcessName): ReplicaLink? {
        if (!areNamesAddresses) return null
        val address = try {
            NetworkAddress.parse(receiver.value)
        } catch (exception: IllegalArgumentException) {
            LOG.warn(
                "controller: dropped a message to {}, whose name is not an address: {}",
                receiver,
                exception.message,
            )
            return null
        }
        return links.computeIfAbsent(receiver) { name ->
            link(name, address).also { it.start(scope) }
        }
    }

    private fun link(name: ProcessName, address: NetworkAddress): ReplicaLink {
        val peer = if (peerPort == null) address else address.copy(port = peerPort)
        return ReplicaLink(ControllerAddress(name, peer), transport)
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(ReplicaLinks::class.java)
    }
}
