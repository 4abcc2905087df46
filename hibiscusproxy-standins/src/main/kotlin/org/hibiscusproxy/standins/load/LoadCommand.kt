package org.hibiscusproxy.standins.load

import kotlin.system.exitProcess
import kotlinx.cli.ArgType
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required

/** Subcommand `load`. Exits with 0 when every check passed, otherwise with 1. */
class LoadCommand : Subcommand("load", "Generate open-loop load and validate each answer") {
    private val defaults = LoadOptions(entries = listOf("unused"))
    private val entries by option(
        ArgType.String,
        "entries",
        description = "Base URLs separated by commas, used in turn",
    ).required()
    private val direct by flag("direct", "The entries are engines")
    private val teams by integer("teams", "Teams; team k has a share of 1/k", defaults.teams)
    private val manuals by integer("manuals", "Manuals shared as system prompts", defaults.manuals)
    private val manualTokens by integer(
        "manual-tokens",
        "Tokens of one manual",
        defaults.manualTokens,
    )
    private val chats by integer("chats", "Concurrent chats", defaults.chats)
    private val rate by decimal("rate", "Arrivals per second", defaults.rate)
    private val duration by decimal(
        "duration-seconds",
        "Time over which requests arrive",
        defaults.durationSeconds,
    )
    private val burst by integer("burst", "Requests sent at once instead of over time", 0)
    private val answerTokens by integer(
        "answer-tokens",
        "Tokens of one answer",
        defaults.answerTokens,
    )
    private val model by text("model", "Model requested by chats", defaults.model)
    private val service by option(
        ArgType.String,
        "service",
        description = "Sent as X-Service with chats",
    )
    private val streamShare by decimal(
        "stream-share",
        "Share of streamed chat completions, 0 to 1",
        defaults.streamShare,
    )
    private val bookingShare by decimal(
        "booking-share",
        "Share of arrivals that are bookings, 0 to 1",
        defaults.bookingShare,
    )
    private val bookingService by text(
        "booking-service",
        "Plain service that takes bookings",
        defaults.bookingService,
    )
    private val pause by decimal(
        "pause-seconds",
        "Minimum time between two turns of a chat",
        defaults.pauseSeconds,
    )
    private val turns by integer("chat-turns", "Turns of one chat", defaults.chatTurns)
    private val timeout by decimal(
        "timeout-seconds",
        "Time after which an answer counts as lost or broken",
        defaults.timeoutSeconds,
    )
    private val seed by integer("seed", "Random seed of the workload", defaults.seed.toInt())
    private val check by text(
        "check-executions",
        "Base URLs of all engines and services, whose executions are compared with the answers",
        "",
    )
    private val plot by option(ArgType.String, "plot", description = "SVG file for the plot")

    override fun execute() {
        val summary = LoadRun(options(), ::println).execute()
        exitProcess(if (summary.isClean) 0 else 1)
    }

    private fun options() = LoadOptions(
        entries = urls(entries),
        isDirect = direct,
        teams = teams,
        manuals = manuals,
        manualTokens = manualTokens,
        chats = chats,
        rate = rate,
        durationSeconds = duration,
        burst = burst,
        answerTokens = answerTokens,
        model = model,
        service = service,
        streamShare = streamShare,
        bookingShare = bookingShare,
        bookingService = bookingService,
        pauseSeconds = pause,
        chatTurns = turns,
        timeoutSeconds = timeout,
        seed = seed.toLong(),
        statsUrls = urls(check),
        plotFile = plot,
    )

    private fun urls(text: String): List<String> =
        text.split(',').map { it.trim().trimEnd('/') }.filter { it.isNotEmpty() }

    private fun integer(name: String, description: String, default: Int) =
        option(ArgType.Int, name, description = description).default(default)

    private fun decimal(name: String, description: String, default: Double) =
        option(ArgType.Double, name, description = description).default(default)

    private fun text(name: String, description: String, default: String) =
        option(ArgType.String, name, description = description).default(default)

    private fun flag(name: String, description: String) =
        option(ArgType.Boolean, name, description = description).default(false)
}
