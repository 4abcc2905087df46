package org.hibiscusproxy.daemon.transport

import org.hibiscusproxy.model.NetworkAddress

/** Reason why a message was not queued. */
sealed class SendFailure {
    /** The connection has ended. */
    data object ConnectionClosed : SendFailure()

    /** The encoded message has [bytes] bytes, which exceeds the frame limit. */
    data class MessageTooLarge(val bytes: Int) : SendFailure()
}

/** Reason why connecting failed. In each case, no message reached the peer. */
sealed class ConnectFailure {
    /** No process listens at [address], or the network is unavailable. */
    data class Unreachable(val address: NetworkAddress, val cause: String) : ConnectFailure()

    /** The peer did not complete the handshake in time. */
    data class HandshakeTimeout(val address: NetworkAddress) : ConnectFailure()

    /** The peer does not hold the fleet key, or the handshake was corrupted. */
    data class NotAuthenticated(val address: NetworkAddress) : ConnectFailure()
}
