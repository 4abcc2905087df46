package org.hibiscusproxy.standins

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import org.hibiscusproxy.standins.demonstration.DemonstrationCommand
import org.hibiscusproxy.standins.deployment.DeploymentCommand
import org.hibiscusproxy.standins.engine.EngineCommand
import org.hibiscusproxy.standins.faults.FaultProxyCommand
import org.hibiscusproxy.standins.load.LoadCommand
import org.hibiscusproxy.standins.platform.PlatformCommand
import org.hibiscusproxy.standins.scenario.ScenarioCommand
import org.hibiscusproxy.standins.service.ServiceCommand
import org.hibiscusproxy.standins.weights.WeightCommand

/** Starts the command line of the stand-ins and the load tool. */
@OptIn(ExperimentalCli::class)
fun main(arguments: Array<String>) {
    val parser = ArgParser("hibiscusproxy-standins", strictSubcommandOptionsOrder = true)
    parser.subcommands(
        EngineCommand(),
        ServiceCommand(),
        PlatformCommand(),
        WeightCommand(),
        FaultProxyCommand(),
        LoadCommand(),
        DeploymentCommand(),
        DemonstrationCommand(),
        ScenarioCommand(),
    )
    parser.parse(if (arguments.isEmpty()) arrayOf("--help") else arguments)
}
