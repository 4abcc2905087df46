package org.hibiscusproxy.daemon.forwarding

import org.hibiscusproxy.forwarding.ServiceVersion

/** What the controllers know of the version that began a stream. */
internal sealed class StreamOrigin {
    /** Name in log lines. */
    abstract val text: String

    /** The stream began at [version]. */
    data class Known(val version: ServiceVersion) : StreamOrigin() {
        override val text = "known"
    }

    /** No controller can know it. */
    data object Unknown : StreamOrigin() {
        override val text = "unknown"
    }

    /** No controller has answered in time. */
    data object NotAnswered : StreamOrigin() {
        override val text = "not-answered"
    }
}
