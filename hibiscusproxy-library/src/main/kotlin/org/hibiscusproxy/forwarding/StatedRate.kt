package org.hibiscusproxy.forwarding

/** What a response says about the rate of requests that its target takes from all forwarders. */
sealed class StatedRate {
    /** The target takes [perSecond] requests a second. */
    data class Limited(val perSecond: Double) : StatedRate()

    /** The target states no limit. */
    data object Unlimited : StatedRate()

    /** The target states a limit that cannot be read. An earlier statement stays in force. */
    data object Unreadable : StatedRate()
}
