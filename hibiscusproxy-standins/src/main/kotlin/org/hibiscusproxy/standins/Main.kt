package org.hibiscusproxy.standins

/** Starts the command line of the stand-ins and the load tool. */
fun main(arguments: Array<String>) {
    println("hibiscusproxy-standins ${arguments.joinToString(" ")}")
}
