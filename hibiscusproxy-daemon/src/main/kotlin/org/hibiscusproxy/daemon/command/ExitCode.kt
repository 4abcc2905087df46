package org.hibiscusproxy.daemon.command

/** Exit codes of the operators' commands. */
enum class ExitCode(val number: Int) {
    /** Done. */
    DONE(0),

    /** Refused or failed. */
    REFUSED(1),

    /** Wrong usage. */
    USAGE(2),

    /** Another change was made since the version that this one is based on. */
    CONFLICT(3),

    /** No controller was reached, or it is not known whether the change was made. */
    UNKNOWN(4),
}
