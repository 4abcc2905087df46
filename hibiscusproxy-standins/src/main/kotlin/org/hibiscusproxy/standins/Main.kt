package org.hibiscusproxy.standins

import kotlinx.cli.ArgParser
import org.hibiscusproxy.standins.engine.EngineCommand
import org.hibiscusproxy.standins.faults.FaultProxyCommand
import org.hibiscusproxy.standins.load.LoadCommand
import org.hibiscusproxy.standins.platform.PlatformCommand
import org.hibiscusproxy.standins.service.ServiceCommand
import org.hibiscusproxy.standins.weights.WeightCommand

/** Starts the command line of the stand-ins and the load tool. */
fun main(arguments: Array<String>) {
    val parser = ArgParser("hibiscusproxy-standins", strictSubcommandOptionsOrder = true)
    parser.subcommands(
        EngineCommand(),
        ServiceCommand(),
        PlatformCommand(),
        WeightCommand(),
        FaultProxyCommand(),
        LoadCommand(),
    )
    parser.parse(if (arguments.isEmpty()) arrayOf("--help") else arguments)
}
