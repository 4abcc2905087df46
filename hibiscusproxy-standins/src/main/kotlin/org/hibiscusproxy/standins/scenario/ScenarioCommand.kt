package org.hibiscusproxy.standins.scenario

import com.github.michaelbull.result.getOrElse
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.deleteRecursively
import kotlin.io.path.name
import kotlin.io.path.readText
import kotlin.system.exitProcess
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.vararg
import org.hibiscusproxy.standins.deployment.FreePorts

/** `scenario`: runs scripts against real processes. Exit code 0 only when all hold. */
@OptIn(ExperimentalCli::class)
class ScenarioCommand :
    Subcommand("scenario", "Run scenario scripts against a fleet of real processes") {
    private val files by argument(ArgType.String, description = "Scripts").vararg()
    private val basePort by option(
        ArgType.Int,
        "base-port",
        description = "First port; default: free ones",
    )
    private val keep by option(ArgType.Boolean, "keep", description = "Keep logs and data")
        .default(false)

    override fun execute() {
        val failures = files.map { Path.of(it) }.count { !holds(it) }
        println("${files.size - failures} scenarios passed, $failures failed")
        exitProcess(if (failures == 0) 0 else 1)
    }

    @OptIn(ExperimentalPathApi::class)
    private fun holds(file: Path): Boolean {
        val scenario = ScenarioParser.parse(file.name, file.readText()).getOrElse { faults ->
            faults.forEach { println("$file:${it.line}: ${it.message}: ${it.text}") }
            return false
        }
        println("${scenario.name}: guards against: ${scenario.guards.joinToString("; ")}")
        val folder = Files.createTempDirectory("hibiscusproxy-scenario")
        return try {
            FreePorts.take().use { ports ->
                val base = basePort ?: ports.base
                ScenarioRunner(folder, base, ::println).use { it.run(scenario) }
            }
            println("${scenario.name}: holds")
            true
        } catch (failure: ScenarioFailure) {
            println("${scenario.name}: FAILED: ${failure.message}")
            false
        } finally {
            if (keep) println("kept $folder") else folder.deleteRecursively()
        }
    }
}
