package org.hibiscusproxy.daemon.transport

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of connections between processes. All processes of a fleet must use the same values for
 * [heartbeatInterval] and [silenceLimit].
 *
 * @property connectTimeout time limit for the TCP connect
 * @property handshakeTimeout time limit for the complete handshake, on both sides
 * @property maximumFrameBytes largest encoded message sent or accepted
 * @property outgoingBytes bytes queued on one connection above which senders suspend
 * @property incomingMessages messages buffered for the receiver before reading pauses
 * @property heartbeatInterval idle time after which a heartbeat is sent; null disables heartbeats
 *   and silence detection
 * @property pendingHandshakes accepted connections that have not authenticated; more than the
 *   processes of a fleet that may connect at once
 * @property silenceLimit time without received bytes after which a connection is closed
 */
data class TransportSettings(
    val connectTimeout: Duration = 2.seconds,
    val handshakeTimeout: Duration = 3.seconds,
    val maximumFrameBytes: Int = 8 * 1024 * 1024,
    val outgoingBytes: Int = 1024 * 1024,
    val incomingMessages: Int = 64,
    val heartbeatInterval: Duration? = 1.seconds,
    val silenceLimit: Duration = 3.seconds,
    val pendingHandshakes: Int = 256,
) {
    companion object {
        /**
         * Settings with which a silent connection is detected and another one opened within
         * [timeout]. One third of it is the silence limit, which spans three heartbeats.
         */
        fun forContactTimeout(timeout: Duration) = TransportSettings(
            connectTimeout = timeout / 6,
            handshakeTimeout = timeout / 3,
            heartbeatInterval = timeout / 9,
            silenceLimit = timeout / 3,
        )
    }
}
