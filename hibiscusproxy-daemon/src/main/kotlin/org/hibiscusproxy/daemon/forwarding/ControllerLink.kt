package org.hibiscusproxy.daemon.forwarding

import org.hibiscusproxy.protocol.ControlMessage

/** Sends messages of a forwarder to the controllers that it is connected to. Never blocks. */
internal interface ControllerLink {
    /** Sends [message] to all controllers. */
    fun sendToAll(message: ControlMessage)

    /** Sends [message] to the controllers that last reported being the leader. */
    fun sendToLeader(message: ControlMessage)
}
