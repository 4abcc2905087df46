package org.hibiscusproxy.forwarding

import kotlin.time.Duration

/** What a refusal says about the time for which its target wants no further requests. */
sealed class StatedPause {
    /** The target wants no request for [duration]. */
    data class Lasting(val duration: Duration) : StatedPause()

    /** The target states no time. */
    data object None : StatedPause()

    /** The target states a time that cannot be read. An earlier statement stays in force. */
    data object Unreadable : StatedPause()
}
