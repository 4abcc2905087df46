package org.hibiscusproxy.admission

import kotlin.time.Duration
import org.hibiscusproxy.model.ServiceName

/** Begin or end of a shortage of room at a service, as this forwarder sees it. */
sealed class ShortageChange {
    abstract val service: ServiceName

    /** Requests a second from all forwarders, those that are refused included. */
    abstract val demandPerSecond: Double

    /** Requests a second that the usable targets can serve. */
    abstract val capacityPerSecond: Double

    /** From now on, less urgent requests are refused. */
    data class Began(
        override val service: ServiceName,
        override val demandPerSecond: Double,
        override val capacityPerSecond: Double,
    ) : ShortageChange()

    /** The shortage lasted for [duration]; this forwarder refused [refused] requests in it. */
    data class Ended(
        override val service: ServiceName,
        override val demandPerSecond: Double,
        override val capacityPerSecond: Double,
        val duration: Duration,
        val refused: Int,
    ) : ShortageChange()
}
