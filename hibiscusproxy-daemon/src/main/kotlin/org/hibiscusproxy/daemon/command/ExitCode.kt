package org.hibiscusproxy.daemon.command

import kotlin.system.exitProcess

/** Exit codes of the command line. */
enum class ExitCode(val code: Int) {
    /** The command did what it was asked. */
    DONE(0),

    /** The command was refused or failed; nothing changed unless it says so. */
    FAILED(1),

    /** The command line or a file is wrong. */
    USAGE(2),

    /** Another change won. */
    CONFLICT(3),

    /** The fleet was not reached or the outcome is unknown; the same call may be repeated. */
    UNKNOWN(4),
    ;

    /** Ends the process with this code. */
    fun exit(): Nothing = exitProcess(code)
}
