package org.hibiscusproxy.daemon.transport

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of the connections between processes. All processes of a fleet use the same values for
 * [heartbeatInterval] and [silenceLimit].
 *
 * @property connectTimeout time for the TCP connection
 * @property handshakeTimeout time for the whole handshake, on both sides
 * @property maximumFrameBytes largest encoded message sent or accepted
 * @property outgoingBytes bytes that wait in one connection before senders suspend
 * @property incomingMessages messages that wait for the receiver before reading stops
 * @property heartbeatInterval longest time without a sent frame; null sends no heartbeats and
 *   detects no silence
 * @property silenceLimit time without a received frame after which a connection is ended
 */
data class TransportSettings(
    val connectTimeout: Duration = 2.seconds,
    val handshakeTimeout: Duration = 3.seconds,
    val maximumFrameBytes: Int = 8 * 1024 * 1024,
    val outgoingBytes: Int = 1024 * 1024,
    val incomingMessages: Int = 64,
    val heartbeatInterval: Duration? = 1.seconds,
    val silenceLimit: Duration = 3.seconds,
) {
    companion object {
        /**
         * Settings that notice a silent connection, and can open another one, within [contact]: a
         * third of it for silence, with three heartbeats in that time.
         */
        fun within(contact: Duration) = TransportSettings(
            connectTimeout = contact / 6,
            handshakeTimeout = contact / 3,
            heartbeatInterval = contact / 9,
            silenceLimit = contact / 3,
        )
    }
}
