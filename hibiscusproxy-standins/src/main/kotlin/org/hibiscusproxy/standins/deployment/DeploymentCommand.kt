package org.hibiscusproxy.standins.deployment

import java.nio.file.Path
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required

/** `deployment`: writes settings and objects of a loopback fleet to a folder. */
@OptIn(ExperimentalCli::class)
class DeploymentCommand :
    Subcommand("deployment", "Write settings and objects of a loopback fleet") {
    private val kind by option(
        ArgType.Choice(listOf("demo", "skupaj", "volta"), { it }),
        "kind",
        description = "Kind of fleet",
    ).default("demo")
    private val folder by option(ArgType.String, "folder", description = "Folder to write to")
        .required()
    private val controllers by option(ArgType.Int, "controllers", description = "Controller count")
    private val entries by option(ArgType.Int, "entries", description = "Entry count")
    private val chatWorkers by option(ArgType.Int, "chat-workers", description = "Engine count")
    private val plainWorkers by option(
        ArgType.Int,
        "plain-workers",
        description = "Instance count of the plain service",
    )
    private val basePort by option(ArgType.Int, "base-port", description = "First port")
        .default(Deployment.DEFAULT_BASE_PORT)
    private val engineOptions by option(
        ArgType.String,
        "engine-options",
        description = "Options added to each engine, separated by spaces",
    ).default("")

    override fun execute() {
        val builder = when (kind) {
            "skupaj" -> Deployment.skupaj()
            "volta" -> Deployment.volta()
            else -> Deployment.demonstration()
        }
        builder.basePort = basePort
        controllers?.let { builder.controllers = it }
        entries?.let { builder.entries = it }
        chatWorkers?.let { builder.chatWorkers = it }
        plainWorkers?.let { builder.plainWorkers = it }
        val options = engineOptions.split(' ').filter { it.isNotEmpty() }
        val target = Path.of(folder).toAbsolutePath().normalize()
        val processes = DeploymentFolder(builder.build(), target, options).write()
        println("wrote ${processes.size} process definitions to $folder/processes.txt")
    }
}
