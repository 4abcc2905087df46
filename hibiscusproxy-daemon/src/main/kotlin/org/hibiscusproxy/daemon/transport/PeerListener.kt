package org.hibiscusproxy.daemon.transport

import org.hibiscusproxy.model.NetworkAddress

/** A listener for connections of other processes. Closing it ends the connections it accepted. */
interface PeerListener : AutoCloseable {
    /** Address in use; its port is the chosen one when port 0 was asked for. */
    val address: NetworkAddress
}
