package org.hibiscusproxy.daemon.transport

import org.hibiscusproxy.model.NetworkAddress

/** Why a message was not queued. */
sealed class SendFailure {
    /** The connection has ended. */
    data object ConnectionClosed : SendFailure()

    /** The encoded message of [bytes] bytes is over the frame limit. */
    data class MessageTooLarge(val bytes: Int) : SendFailure()
}

/** Why no connection was made. In each case no message reached the other side. */
sealed class ConnectFailure {
    /** Nothing listens at [address], or the network is down. */
    data class Unreachable(val address: NetworkAddress, val cause: String) : ConnectFailure()

    /** The other side did not answer the handshake in time. */
    data class HandshakeTimeout(val address: NetworkAddress) : ConnectFailure()

    /** The other side does not hold the fleet key, or the handshake was damaged. */
    data class NotAuthenticated(val address: NetworkAddress) : ConnectFailure()
}
