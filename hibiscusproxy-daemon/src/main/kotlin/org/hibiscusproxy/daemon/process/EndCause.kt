package org.hibiscusproxy.daemon.process

/** Why a process ends. */
sealed class EndCause {
    /** Human-readable description, for the log. */
    abstract val text: String

    /** The process received the signal [name]. */
    data class Signalled(val name: String) : EndCause() {
        override val text = "SIG$name"
    }
}
