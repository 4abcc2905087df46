package org.hibiscusproxy.standins.deployment

import org.hibiscusproxy.model.NetworkAddress

/**
 * A process of a deployment.
 *
 * @property administration address whose `/health` answers 200 once the process runs
 */
data class ProcessDefinition(
    val name: String,
    val program: Program,
    val arguments: List<String>,
    val administration: NetworkAddress,
) {
    /** Program that a process runs; [launcher] is its script in `bin`. */
    enum class Program(val launcher: String) {
        /** An entry, sidecar or controller. */
        HIBISCUSPROXY("hibiscusproxy"),

        /** A stand-in of an external system. */
        STAND_INS("hibiscusproxy-standins"),
    }

    /** Line of `processes.txt`: name, health address, launcher and arguments. */
    fun toLine(): String =
        (listOf(name, administration.toString(), program.launcher) + arguments).joinToString("\t")
}
