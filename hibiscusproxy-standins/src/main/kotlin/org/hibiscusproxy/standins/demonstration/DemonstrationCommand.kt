package org.hibiscusproxy.standins.demonstration

import kotlin.system.exitProcess
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required

/** `demonstration`: sends a few requests, checks their answers and prints a summary. */
@OptIn(ExperimentalCli::class)
class DemonstrationCommand :
    Subcommand("demonstration", "Send a few chats and a booking and print the answering targets") {
    private val entries by option(
        ArgType.String,
        "entries",
        description = "Base URLs of entries, separated by commas",
    ).required()
    private val model by option(ArgType.String, "model", description = "Model of the chats")
        .default("hibiscus-7b")
    private val bookingService by option(
        ArgType.String,
        "booking-service",
        description = "Plain service that takes the booking",
    ).default("booking")

    override fun execute() {
        val urls = entries.split(',').map { it.trim().trimEnd('/') }
        val isCorrect = Demonstration(urls, model, bookingService).run()
        exitProcess(if (isCorrect) 0 else 1)
    }
}
