package org.hibiscusproxy.standins.engine

import kotlinx.cli.ArgType
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import org.hibiscusproxy.model.NetworkAddress
import org.slf4j.LoggerFactory

/** Subcommand `engine`. */
class EngineCommand : Subcommand("engine", "Run a model engine stand-in") {
    private val standard = EngineOptions(name = "default")
    private val listen by option(ArgType.String, "listen", description = "Address, host:port")
        .required()
    private val engineName by option(ArgType.String, "name", description = "Name of the engine")
        .required()
    private val slots by integer("slots", "Requests running at once", standard.slots)
    private val maximumWaiting by integer(
        "maximum-waiting",
        "Requests that may wait for a slot",
        standard.maximumWaiting,
    )
    private val tokenMilliseconds by integer(
        "token-milliseconds",
        "Time of one batch step",
        standard.tokenMilliseconds.toInt(),
    )
    private val prefill by decimal(
        "prefill-milliseconds-per-thousand-tokens",
        "Prefill time of uncached tokens",
        standard.prefillMillisecondsPerThousandTokens,
    )
    private val cacheBlocks by integer(
        "cache-blocks",
        "Prefix cache size in blocks of 16 tokens",
        standard.cacheBlocks,
    )
    private val reportLag by integer("report-lag-milliseconds", "Age of the reported load", 0)
    private val coldSeconds by decimal("cold-seconds", "Time of the cold start", 0.0)
    private val coldSlots by integer(
        "cold-slots",
        "Requests running at once that a cold engine survives",
        standard.coldSlots,
    )
    private val coldRequests by integer(
        "cold-requests",
        "Completed requests that warm the engine up",
        standard.coldRequests,
    )
    private val coldSlowdown by decimal(
        "cold-slowdown",
        "Factor on the prefill time while cold",
        standard.coldSlowdown,
    )
    private val fallOver by option(
        ArgType.Choice<FallOver>(),
        "fall-over",
        description = "What an overloaded cold engine does",
    ).default(FallOver.EXIT)
    private val stallSeconds by decimal(
        "stall-seconds",
        "Silence after a fall-over with stall",
        standard.stallSeconds,
    )
    private val checkFencing by option(
        ArgType.Choice(listOf(true, false), { it.toBooleanStrict() }),
        "check-fencing",
        description = "Refuse orders with a stale fencing number",
    ).default(true)
    private val resume by integer(
        "resume-milliseconds",
        "Time for which a stream without a reader goes on",
        0,
    )
    private val eventLag by integer(
        "event-lag-milliseconds",
        "Lateness of cache events",
        standard.eventLagMilliseconds.toInt(),
    )
    private val eventGapShare by decimal(
        "event-gap-share",
        "Share of cache events that are lost, 0 to 1",
        standard.eventGapShare,
    )
    private val seed by integer("seed", "Seed of the lost cache events", 1)

    override fun execute() {
        val server = EngineServer.start(NetworkAddress.parse(listen), options())
        LoggerFactory.getLogger(EngineCommand::class.java)
            .info("engine: {} listens at {}", engineName, server.address)
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
