package org.hibiscusproxy.daemon.process

/** Why a process ends. */
sealed class EndCause {
    /** Human-readable description, for the log. */
    abstract val text: String

    /** The process received the signal [name]. */
    data class Signalled(val name: String) : EndCause() {
        override val text = "SIG$name"
    }

    /** A role failed, for example a controller whose data folder cannot be written. */
    data class RoleFailed(val failure: Throwable) : EndCause() {
        override val text = "failed role"
    }

    /** An error ended [thread], or the task of an event loop that it runs. */
    data class Uncaught(val thread: String, val failure: Throwable) : EndCause() {
        override val text = "uncaught ${failure.javaClass.simpleName} in $thread"
    }
}
