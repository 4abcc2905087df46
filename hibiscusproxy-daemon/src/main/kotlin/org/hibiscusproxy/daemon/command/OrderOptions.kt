package org.hibiscusproxy.daemon.command

import java.net.URLEncoder
import kotlin.time.Duration.Companion.seconds
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import org.hibiscusproxy.control.ChangeIdentifier
import org.hibiscusproxy.daemon.controller.OperatorJson
import org.hibiscusproxy.daemon.controller.OrderBody
import org.hibiscusproxy.daemon.controller.OrderReport
import org.hibiscusproxy.protocol.NotSentReason
import org.hibiscusproxy.protocol.OrderOutcome

/** Options of commands that send an order to an engine, and output of its outcome. */
internal class OrderOptions(parser: ArgParser, private val command: OperatorCommand) {
    private val kind by parser.option(
        ArgType.String,
        fullName = "kind",
        description = "With order: kind, such as load-model, load-adapter or change-role",
    )
    private val value by parser.option(
        ArgType.String,
        fullName = "value",
        description = "With order: the model, adapter, version or role",
    )

    /** Whether any of these options was given. */
    val areGiven: Boolean get() = kind != null || value != null

    /** Sends the order to the engine of [target]. */
    fun send(client: OperatorClient, target: String, change: ChangeIdentifier): ExitCode {
        val kind = kind ?: return command.usage("order needs --kind")
        val value = value ?: return command.usage("order needs --value")
        val body = OrderBody(change, kind, value)
        val text = OperatorJson.format.encodeToString(OrderBody.serializer(), body)
        val path = "/targets/${URLEncoder.encode(target, Charsets.UTF_8)}/orders"
        val result = client.call("POST", path, text, SERVER_TIMEOUT)
        val exitCode = command.handle(result, OrderReport.serializer()) { report(it.outcome) }
        if (exitCode == ExitCode.UNKNOWN) {
            command.errors.println("to send the order again: --change $change")
        }
        return exitCode
    }

    private fun report(outcome: OrderOutcome): ExitCode = when (outcome) {
        is OrderOutcome.Accepted -> {
            command.output.println("accepted under fencing number ${outcome.fencingNumber}")
            ExitCode.DONE
        }

        is OrderOutcome.RefusedByEngine -> {
            command.errors.println("refused by the engine: ${outcome.reason.label()}")
            ExitCode.REFUSED
        }

        is OrderOutcome.NotSent -> {
            command.errors.println("not sent: ${outcome.reason.label()}")
            val isReused = outcome.reason == NotSentReason.NUMBER_REUSED
            if (isReused) ExitCode.CONFLICT else ExitCode.REFUSED
        }

        OrderOutcome.Unknown -> {
            command.errors.println("outcome unknown: the engine did not answer")
            ExitCode.UNKNOWN
        }
    }

    private fun Enum<*>.label(): String = name.lowercase().replace('_', '-')

    private companion object {
        /** Time limit of the controller, after which it responds with an unknown outcome. */
        val SERVER_TIMEOUT = 12.seconds
    }
}
