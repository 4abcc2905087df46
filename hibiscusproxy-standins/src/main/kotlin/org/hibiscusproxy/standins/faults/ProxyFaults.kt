package org.hibiscusproxy.standins.faults

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Fault of new connections. */
@Serializable
enum class ConnectFault {
    /** New connections are accepted. */
    @SerialName("none")
    NONE,

    /** The listener is closed, so the operating system refuses new connections. */
    @SerialName("refuse")
    REFUSE,

    /** New connections are accepted and immediately reset. */
    @SerialName("reset")
    RESET,
}

/** Handling of bytes during a silent network cut. Connections stay open in any case. */
@Serializable
enum class Cut {
    /** Bytes are forwarded. */
    @SerialName("none")
    NONE,

    /** Bytes are held back and forwarded when the cut ends. */
    @SerialName("wait")
    WAIT,

    /**
     * Bytes are discarded. Once a connection has lost bytes, all later ones are discarded too,
     * because TCP never delivers a stream with a gap.
     */
    @SerialName("vanish")
    VANISH,
}

/**
 * Faults of one direction of a connection.
 *
 * @property delayMilliseconds latency added to each byte
 * @property jitterMilliseconds maximum random addition to the delay; the order of bytes is kept
 * @property bytesPerSecond bandwidth limit per connection; unlimited when null
 * @property resetAfterBytes further bytes after which each connection is reset; never when null
 */
@Serializable
data class DirectionFaults(
    val cut: Cut = Cut.NONE,
    val delayMilliseconds: Long = 0,
    val jitterMilliseconds: Long = 0,
    val bytesPerSecond: Long? = null,
    val resetAfterBytes: Long? = null,
) {
    init {
        require(delayMilliseconds >= 0) { "delay must not be negative: $delayMilliseconds" }
        require(jitterMilliseconds >= 0) { "jitter must not be negative: $jitterMilliseconds" }
        require(bytesPerSecond == null || bytesPerSecond > 0) {
            "bandwidth must be positive: $bytesPerSecond"
        }
        require(resetAfterBytes == null || resetAfterBytes >= 0) {
            "reset after bytes must not be negative: $resetAfterBytes"
        }
    }
}

/**
 * All active faults of a proxy.
 *
 * @property forward faults from the client to the target
 * @property backward faults from the target to the client
 */
@Serializable
data class ProxyFaults(
    val connect: ConnectFault = ConnectFault.NONE,
    val forward: DirectionFaults = DirectionFaults(),
    val backward: DirectionFaults = DirectionFaults(),
)

/** Statistics since the start of a proxy. */
@Serializable
data class ProxyStats(
    val open: Int,
    val accepted: Long,
    val resets: Long,
    val forwardBytes: Long,
    val backwardBytes: Long,
    val vanishedBytes: Long,
)
