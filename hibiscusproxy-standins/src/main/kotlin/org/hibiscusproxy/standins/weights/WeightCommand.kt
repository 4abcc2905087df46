package org.hibiscusproxy.standins.weights

import kotlinx.cli.ArgType
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import org.hibiscusproxy.model.NetworkAddress
import org.slf4j.LoggerFactory

/** Subcommand `weights`. */
class WeightCommand : Subcommand("weights", "Run a rate-limited weight store") {
    private val listen by option(ArgType.String, "listen", description = "Address, host:port")
        .required()
    private val bytesPerSecond by option(
        ArgType.Int,
        "bytes-per-second",
        description = "Bandwidth shared by all readers",
    ).required()
    private val modelBytes by option(
        ArgType.Int,
        "model-bytes",
        description = "Size of a model's weights",
    ).default(10_000_000)

    override fun execute() {
        val server = WeightServer.start(
            NetworkAddress.parse(listen),
            bytesPerSecond.toLong(),
            modelBytes.toLong(),
        )
        LoggerFactory.getLogger(WeightCommand::class.java)
            .info("weights: listening on {}", server.address)
    }
}
