package org.hibiscusproxy.daemon.forwarding

import kotlin.time.Duration

/**
 * How far an attempt got before it failed, and the time since it got there. Tells in the log
 * whether a target ended while it began an answer, or while the request waited for it.
 */
internal sealed class AttemptProgress {
    /** Time since the attempt reached this phase. */
    abstract val elapsed: Duration

    /** Name of the phase in log lines. */
    abstract val name: String

    /** No connection was established. */
    data class Connecting(override val elapsed: Duration) : AttemptProgress() {
        override val name = "connecting"
    }

    /** The request was sent and no response has begun. */
    data class Waiting(override val elapsed: Duration) : AttemptProgress() {
        override val name = "waiting"
    }

    /** The head of the response has arrived. */
    data class Answering(override val elapsed: Duration) : AttemptProgress() {
        override val name = "answering"
    }
}
