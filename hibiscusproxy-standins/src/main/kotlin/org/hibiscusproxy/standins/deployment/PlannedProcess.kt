package org.hibiscusproxy.standins.deployment

import org.hibiscusproxy.model.NetworkAddress

/**
 * A process to start.
 *
 * @property administration address whose `/health` answers 200 once the process runs
 */
data class PlannedProcess(
    val name: String,
    val program: Program,
    val arguments: List<String>,
    val administration: NetworkAddress,
) {
    /** Which program the process runs. */
    enum class Program(val launcher: String) {
        /** A process of hibiscusproxy. */
        PRODUCT("hibiscusproxy"),

        /** A stand-in of an outside system. */
        STAND_IN("hibiscusproxy-standins"),
    }

    /** The process as one line of `processes.txt`: name, health address, launcher, arguments. */
    fun line(): String =
        (listOf(name, administration.toString(), program.launcher) + arguments).joinToString("\t")
}
