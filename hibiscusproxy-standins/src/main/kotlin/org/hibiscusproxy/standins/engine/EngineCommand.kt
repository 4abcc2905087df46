package org.hibiscusproxy.standins.engine

import kotlinx.cli.ArgType
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import org.hibiscusproxy.model.NetworkAddress
import org.slf4j.LoggerFactory

/** Subcommand `engine`. */
class EngineCommand : Subcommand("engine", "Run a model engine stand-in") {
    private val defaults = EngineOptions(name = "default")
    private val listen by option(ArgType.String, "listen", description = "Address, host:port")
        .required()
    private val engineName by option(ArgType.String, "name", description = "Name of the engine")
        .required()
    private val slots by integer("slots", "Requests running at once", defaults.slots)
    private val maximumWaiting by integer(
        "maximum-waiting",
        "Requests that may wait for a slot",
        defaults.maximumWaiting,
    )
    private val tokenMilliseconds by integer(
        "token-milliseconds",
        "Time of one batch step",
        defaults.tokenMilliseconds.toInt(),
    )
    private val prefill by decimal(
        "prefill-milliseconds-per-thousand-tokens",
        "Prefill time of uncached tokens",
        defaults.prefillMillisecondsPerThousandTokens,
    )
    private val cacheBlocks by integer(
        "cache-blocks",
        "Prefix cache size in blocks of 16 tokens",
        defaults.cacheBlocks,
    )
    private val reportLag by integer("report-lag-milliseconds", "Lag of the reported load", 0)
    private val coldSeconds by decimal("cold-seconds", "Duration of the cold start", 0.0)
    private val coldSlots by integer(
        "cold-slots",
        "Concurrent requests that a cold engine can sustain",
        defaults.coldSlots,
    )
    private val coldRequests by integer(
        "cold-requests",
        "Completed requests that end the cold start",
        defaults.coldRequests,
    )
    private val coldSlowdown by decimal(
        "cold-slowdown",
        "Factor on the prefill time while cold",
        defaults.coldSlowdown,
    )
    private val fallOver by option(
        ArgType.Choice<FallOver>(),
        "fall-over",
        description = "What an overloaded cold engine does",
    ).default(FallOver.EXIT)
    private val stallSeconds by decimal(
        "stall-seconds",
        "Duration of a stall",
        defaults.stallSeconds,
    )
    private val checkFencing by option(
        ArgType.Choice(listOf(true, false), { it.toBooleanStrict() }),
        "check-fencing",
        description = "Reject orders with a stale fencing number",
    ).default(true)
    private val resume by integer(
        "resume-milliseconds",
        "Time for which a disconnected stream can be resumed",
        0,
    )
    private val eventLag by integer(
        "event-lag-milliseconds",
        "Delay of cache events",
        defaults.eventLagMilliseconds.toInt(),
    )
    private val eventGapShare by decimal(
        "event-gap-share",
        "Share of cache events that are dropped, 0 to 1",
        defaults.eventGapShare,
    )
    private val seed by integer("seed", "Random seed for dropping cache events", 1)

    override fun execute() {
        val server = EngineServer.start(NetworkAddress.parse(listen), options())
        LoggerFactory.getLogger(EngineCommand::class.java)
            .info("engine: {} listening on {}", engineName, server.address)
    }

    private fun options() = EngineOptions(
        name = engineName,
        slots = slots,
        maximumWaiting = maximumWaiting,
        tokenMilliseconds = tokenMilliseconds.toLong(),
        prefillMillisecondsPerThousandTokens = prefill,
        cacheBlocks = cacheBlocks,
        reportLagMilliseconds = reportLag.toLong(),
        coldSeconds = coldSeconds,
        coldSlots = coldSlots,
        coldRequests = coldRequests,
        coldSlowdown = coldSlowdown,
        fallOver = fallOver,
        stallSeconds = stallSeconds,
        checkFencing = checkFencing,
        resumeMilliseconds = resume.toLong(),
        eventLagMilliseconds = eventLag.toLong(),
        eventGapShare = eventGapShare,
        seed = seed.toLong(),
    )

    private fun integer(name: String, description: String, default: Int) =
        option(ArgType.Int, name, description = description).default(default)

    private fun decimal(name: String, description: String, default: Double) =
        option(ArgType.Double, name, description = description).default(default)
}
