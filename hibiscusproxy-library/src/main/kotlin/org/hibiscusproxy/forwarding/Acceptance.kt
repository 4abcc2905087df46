package org.hibiscusproxy.forwarding

import kotlin.time.Duration

/** Whether a target takes new requests from this forwarder, by the list and by its own responses. */
sealed class Acceptance {
    /** The target takes requests. */
    data object Open : Acceptance()

    /** The target wants no request for [remaining]. */
    data class Paused(val remaining: Duration) : Acceptance()

    /** The target takes no new requests until its process starts again. */
    data object Leaving : Acceptance()
}
