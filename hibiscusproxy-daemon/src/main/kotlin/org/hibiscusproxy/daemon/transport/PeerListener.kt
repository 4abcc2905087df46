package org.hibiscusproxy.daemon.transport

import org.hibiscusproxy.model.NetworkAddress

/** Listener for connections from other processes. Closing it closes the accepted connections. */
interface PeerListener : AutoCloseable {
    /** Bound address, with the actual port when port 0 was requested. */
    val address: NetworkAddress
}
