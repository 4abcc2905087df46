package org.hibiscusproxy.daemon

/** Starts the command line of hibiscusproxy. */
fun main(arguments: Array<String>) {
    println("hibiscusproxy ${arguments.joinToString(" ")}")
}
