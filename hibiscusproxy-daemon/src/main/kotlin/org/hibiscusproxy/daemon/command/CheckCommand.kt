package org.hibiscusproxy.daemon.command

import com.github.michaelbull.result.fold
import java.nio.file.Path
import kotlinx.cli.ArgType
import kotlinx.cli.multiple
import kotlinx.cli.optional
import kotlinx.cli.vararg
import org.hibiscusproxy.daemon.settings.SettingsReader

/**
 * `check`: reads settings files and object files and reports every fault of all of them, without
 * calling a controller.
 */
class CheckCommand : OperatorCommand("check", "Check settings and object files") {
    private val settings by option(
        ArgType.String,
        fullName = "settings",
        shortName = "s",
        description = "Settings file of a process; may be given several times",
    ).multiple()
    private val files by argument(ArgType.String, description = "Object files that make one set")
        .vararg()
        .optional()

    override fun run(): ExitCode {
        if (settings.isEmpty() && files.isEmpty()) return usage("check: no file given")
        val settingsAreRight = settings.map { checkSettings(it) }.all { it }
        val objectsAreRight = files.isEmpty() || checkObjects()
        return if (settingsAreRight && objectsAreRight) ExitCode.DONE else ExitCode.REFUSED
    }

    private fun checkSettings(file: String): Boolean = SettingsReader.read(Path.of(file)).fold(
        { settings ->
            output.println("$file: settings of ${settings.name}, no faults")
            true
        },
        { faults ->
            faults.forEach { errors.println("$file: ${it.describe()}") }
            false
        },
    )

    private fun checkObjects(): Boolean = ObjectFiles.read(files).fold(
        { objects ->
            output.println("${objects.targets.size} targets, no faults")
            true
        },
        { faults ->
            faults.forEach(errors::println)
            false
        },
    )
}
