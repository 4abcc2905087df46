package org.hibiscusproxy.daemon

import org.hibiscusproxy.daemon.process.ProcessSignals

/** Entry point of the `hibiscusproxy` command line. */
fun main(arguments: Array<String>) {
    val signals = ProcessSignals()
    if (arguments.isNotEmpty() && arguments[0] == "run") signals.install()
    CommandLine.execute(arguments, signals)
}
