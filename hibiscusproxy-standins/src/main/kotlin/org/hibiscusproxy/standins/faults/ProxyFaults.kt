package org.hibiscusproxy.standins.faults

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What happens to new connections. */
@Serializable
enum class ConnectFault {
    /** They are accepted. */
    @SerialName("none")
    NONE,

    /** The listener is closed, so that the operating system refuses them. */
    @SerialName("refuse")
    REFUSE,

    /** They are accepted and reset at once. */
    @SerialName("reset")
    RESET,
}

/** What a silent cut does with bytes; connections stay open in each case. */
@Serializable
enum class Cut {
    /** Bytes pass. */
    @SerialName("none")
    NONE,

    /** Bytes wait and pass when the cut ends. */
    @SerialName("wait")
    WAIT,

    /**
     * Bytes vanish. A connection that lost bytes loses all later ones too, because TCP never
     * delivers a stream with a gap.
     */
    @SerialName("vanish")
    VANISH,
}

/**
 * Faults of one direction.
 *
 * @property delayMilliseconds time that each byte is held
 * @property jitterMilliseconds upper limit of a random addition to the delay; order is kept
 * @property bytesPerSecond bandwidth of each connection; unlimited when null
 * @property resetAfterBytes each connection is reset after that many further bytes; never when null
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
            "bytes before the reset must not be negative: $resetAfterBytes"
        }
    }
}

/**
 * All faults of a proxy at one time.
 *
 * @property forward from the connecting side to the target
 * @property backward from the target to the connecting side
 */
@Serializable
data class ProxyFaults(
    val connect: ConnectFault = ConnectFault.NONE,
    val forward: DirectionFaults = DirectionFaults(),
    val backward: DirectionFaults = DirectionFaults(),
)

/** Counts since the proxy's start. */
@Serializable
data class ProxyStats(
    val open: Int,
    val accepted: Long,
    val resets: Long,
    val forwardBytes: Long,
    val backwardBytes: Long,
    val vanishedBytes: Long,
)
