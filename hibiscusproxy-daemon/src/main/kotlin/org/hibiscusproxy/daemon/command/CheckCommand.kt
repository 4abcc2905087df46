package org.hibiscusproxy.daemon.command

import com.github.michaelbull.result.fold
import kotlinx.cli.ArgType
import kotlinx.cli.vararg

/** `check`: reads object files and reports every fault, without calling a controller. */
class CheckCommand : OperatorCommand("check", "Check object files") {
    private val files by argument(ArgType.String, description = "Files that make one set").vararg()

    override fun run(): ExitCode = ObjectFiles.read(files).fold(
        { objects ->
            output.println("${objects.targets.size} targets, no faults")
            ExitCode.DONE
        },
        { faults ->
            faults.forEach(errors::println)
            ExitCode.REFUSED
        },
    )
}
