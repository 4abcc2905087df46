package org.hibiscusproxy.standins

import io.javalin.util.JavalinException
import java.io.IOException
import kotlin.system.exitProcess
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

/** Command line of the stand-ins, the load tool, the scenario runner and the demonstration. */
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
    try {
        parser.parse(if (arguments.isEmpty()) arrayOf("--help") else arguments)
    } catch (failure: IllegalArgumentException) {
        exitWithError(failure.message, USAGE_ERROR_EXIT_CODE)
    } catch (failure: JavalinException) {
        exitWithError(failure.cause?.message ?: failure.message, FAILURE_EXIT_CODE)
    } catch (failure: IOException) {
        exitWithError(failure.message, FAILURE_EXIT_CODE)
    }
}

private fun exitWithError(message: String?, exitCode: Int) {
    System.err.println("hibiscusproxy-standins: $message")
    exitProcess(exitCode)
}

private const val FAILURE_EXIT_CODE = 1
private const val USAGE_ERROR_EXIT_CODE = 2
