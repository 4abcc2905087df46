package org.hibiscusproxy.daemon.command

/** Exit codes of operator commands. */
enum class ExitCode(val number: Int) {
    /** Success. */
    DONE(0),

    /** Refused or failed. */
    REFUSED(1),

    /** Invalid arguments. */
    USAGE(2),

    /** Another change was made since the version that this one is based on. */
    CONFLICT(3),

    /** No controller was reached, or the outcome of the change is unknown. */
    UNKNOWN(4),
}
