package org.hibiscusproxy.daemon.command

import com.github.michaelbull.result.getOrElse
import java.io.PrintStream
import kotlin.system.exitProcess
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.hibiscusproxy.daemon.controller.OperatorErrorType
import org.hibiscusproxy.daemon.controller.OperatorJson
import org.hibiscusproxy.model.NetworkAddress

/** A command that exits with an [ExitCode]. */
@OptIn(ExperimentalCli::class)
abstract class OperatorCommand(name: String, description: String) : Subcommand(name, description) {
    /** Stream to which results are printed. */
    internal var output: PrintStream = System.out

    /** Stream to which error messages are printed. */
    internal var errors: PrintStream = System.err

    /** Executes the command with the parsed arguments. */
    internal abstract fun run(): ExitCode

    final override fun execute() {
        exitProcess(run().number)
    }

    internal fun usage(message: String): ExitCode {
        errors.println(message)
        return ExitCode.USAGE
    }

    internal fun withClient(
        options: ControllerOptions,
        use: (OperatorClient, List<NetworkAddress>) -> ExitCode,
    ): ExitCode {
        val addresses = options.addresses().getOrElse { return usage(it) }
        val client = options.client(addresses).getOrElse { return usage(it) }
        return client.use { use(it, addresses) }
    }

    /** Decodes a successful response and passes it to [onBody]; prints an error otherwise. */
    internal fun <T> handle(
        result: CallResult,
        serializer: KSerializer<T>,
        onBody: (T) -> ExitCode,
    ): ExitCode = when (result) {
        is CallResult.NotReached -> {
            errors.println("no controller reached, nothing was done: ${result.lastFailure}")
            ExitCode.UNKNOWN
        }

        is CallResult.Unknown -> {
            errors.println("outcome unknown: ${result.lastFailure}")
            ExitCode.UNKNOWN
        }

        is CallResult.Answered -> {
            val error = OperatorClient.errorOf(result.body)
            if (error == null) {
                onBody(OperatorJson.format.decodeFromString(serializer, result.body))
            } else {
                errors.println(error.message)
                val isUsageError = error.type == OperatorErrorType.BAD_REQUEST
                if (isUsageError) ExitCode.USAGE else ExitCode.REFUSED
            }
        }
    }

    internal fun <T> print(serializer: KSerializer<T>, value: T) {
        output.println(PRETTY.encodeToString(serializer, value))
    }

    private companion object {
        val PRETTY = Json {
            prettyPrint = true
            encodeDefaults = true
            explicitNulls = false
        }
    }
}
