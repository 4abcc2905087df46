package org.hibiscusproxy.standins

import kotlinx.cli.ArgParser
import org.hibiscusproxy.standins.demonstration.DemonstrationCommand
import org.hibiscusproxy.standins.deployment.DeploymentCommand
import org.hibiscusproxy.standins.engine.EngineCommand
import org.hibiscusproxy.standins.load.LoadCommand
import org.hibiscusproxy.standins.service.ServiceCommand

/** Starts the command line of the stand-ins and the load tool. */
fun main(arguments: Array<String>) {
    val parser = ArgParser("hibiscusproxy-standins", strictSubcommandOptionsOrder = true)
    parser.subcommands(
        EngineCommand(),
        ServiceCommand(),
        LoadCommand(),
        DeploymentCommand(),
        DemonstrationCommand(),
    )
    parser.parse(if (arguments.isEmpty()) arrayOf("--help") else arguments)
}
