package org.hibiscusproxy.daemon.command

import com.github.michaelbull.result.fold
import java.nio.file.Path
import kotlinx.cli.ArgType
import kotlinx.cli.multiple
import kotlinx.cli.optional
import kotlinx.cli.vararg
import org.hibiscusproxy.daemon.settings.SettingsReader

/**
 * `check`: validates settings files and object files offline and prints the faults of all of them.
 */
class CheckCommand : OperatorCommand("check", "Validate settings and object files") {
    private val settings by option(
        ArgType.String,
        fullName = "settings",
        shortName = "s",
        description = "Settings file of a process; may be given several times",
    ).multiple()
    private val files by argument(ArgType.String, description = "Object files that form one set")
        .vararg()
        .optional()

    override fun run(): ExitCode {
        if (settings.isEmpty() && files.isEmpty()) return usage("check: no files given")
        val settingsAreValid = settings.map { checkSettings(it) }.all { it }
        val objectsAreValid = files.isEmpty() || checkObjects()
        return if (settingsAreValid && objectsAreValid) ExitCode.DONE else ExitCode.REFUSED
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
