package org.hibiscusproxy.daemon.command

import java.util.UUID
import kotlin.time.Duration.Companion.seconds
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.hibiscusproxy.control.ChangeIdentifier
import org.hibiscusproxy.control.ChangeOutcome
import org.hibiscusproxy.daemon.controller.ChangeReport
import org.hibiscusproxy.daemon.controller.ProgressReport

/** Options of commands that send a change, and output of its outcome. */
internal class ChangeOptions(parser: ArgParser, private val command: OperatorCommand) {
    private val change by parser.option(
        ArgType.String,
        fullName = "change",
        description = "Identifier of the change; repeat it to resend the same change",
    ).default(UUID.randomUUID().toString())
    private val wait by parser.option(
        ArgType.Int,
        fullName = "wait",
        shortName = "w",
        description = "Seconds to wait until the change is in effect everywhere",
    ).default(DEFAULT_WAIT_SECONDS)

    /** Version that the change is based on; null when not given. */
    val basedOn by parser.option(
        ArgType.Int,
        fullName = "based-on",
        description = "Version that the change is based on; later changes are a conflict",
    )

    val identifier: ChangeIdentifier get() = ChangeIdentifier(change)

    fun send(client: OperatorClient, path: String, body: String): ExitCode {
        val result = client.call("POST", "$path?wait=$wait", body, wait.seconds)
        val exitCode = command.handle(result, ChangeReport.serializer(), ::report)
        if (exitCode == ExitCode.UNKNOWN) {
            command.errors.println("to send the change again: --change $change")
        }
        return exitCode
    }

    private fun report(report: ChangeReport): ExitCode = when (val outcome = report.outcome) {
        is ChangeOutcome.Accepted -> {
            command.output.println("accepted as version ${outcome.version}")
            report.progress?.let { command.output.println(describe(it)) }
            ExitCode.DONE
        }

        is ChangeOutcome.Conflict -> {
            command.errors.println(
                "conflict: based on version ${outcome.basedOn}, changed at ${outcome.changedAt}",
            )
            ExitCode.CONFLICT
        }

        is ChangeOutcome.IdentifierReused -> {
            command.errors.println("change identifier ${outcome.change} has other content")
            ExitCode.CONFLICT
        }

        is ChangeOutcome.Invalid -> {
            outcome.faults.forEach { command.errors.println("$it") }
            ExitCode.REFUSED
        }

        is ChangeOutcome.UnknownObject -> {
            command.errors.println("there is no ${outcome.kind.label} \"${outcome.name}\"")
            ExitCode.REFUSED
        }
    }

    private fun describe(progress: ProgressReport): String {
        if (progress.isInForce) return "in force everywhere"
        val within = progress.withinMilliseconds
        val targets = progress.unconfirmedTargets.joinToString { "${it.target}" }
        return "in force everywhere within $within ms; not confirmed: $targets"
    }

    private companion object {
        const val DEFAULT_WAIT_SECONDS = 10
    }
}
