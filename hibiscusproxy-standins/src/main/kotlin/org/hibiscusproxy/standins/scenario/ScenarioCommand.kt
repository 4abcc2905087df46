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
import org.hibiscusproxy.standins.deployment.PortBlock

/** `scenario`: runs scripts against real processes. The exit code is 0 only when all pass. */
@OptIn(ExperimentalCli::class)
class ScenarioCommand :
    Subcommand("scenario", "Run scenario scripts against a fleet of real processes") {
    private val files by argument(ArgType.String, description = "Scripts").vararg()
    private val basePort by option(
        ArgType.Int,
        "base-port",
        description = "First port; default: a free block",
    )
    private val keep by option(ArgType.Boolean, "keep", description = "Keep logs and data")
        .default(false)

    override fun execute() {
        val failures = files.map { Path.of(it) }.count { !passes(it) }
        println("${files.size - failures} scenarios passed, $failures failed")
        exitProcess(if (failures == 0) 0 else 1)
    }

    @OptIn(ExperimentalPathApi::class)
    private fun passes(file: Path): Boolean {
        val scenario = ScenarioParser.parse(file.name, file.readText()).getOrElse { errors ->
            errors.forEach { println("$file:${it.line}: ${it.message}: ${it.text}") }
            return false
        }
        println("${scenario.name}: guards against: ${scenario.guards.joinToString("; ")}")
        val folder = Files.createTempDirectory("hibiscusproxy-scenario")
        return try {
            PortBlock.reserve().use { ports ->
                val base = basePort ?: ports.base
                ScenarioRunner(folder, base, ::println).use { it.run(scenario) }
            }
            println("${scenario.name}: passed")
            true
        } catch (failure: ScenarioFailure) {
            println("${scenario.name}: FAILED: ${failure.message}")
            false
        } finally {
            if (keep) println("logs and data kept in $folder") else folder.deleteRecursively()
        }
    }
}
