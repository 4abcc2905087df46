package org.hibiscusproxy.standins.platform

import kotlinx.cli.ArgType
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import org.hibiscusproxy.model.NetworkAddress
import org.slf4j.LoggerFactory

/** Subcommand `platform`. */
class PlatformCommand : Subcommand("platform", "Run the platform's lagging instance list") {
    private val listen by option(ArgType.String, "listen", description = "Address, host:port")
        .required()
    private val lag by option(
        ArgType.Int,
        "lag-milliseconds",
        description = "Lag of the list for clients that request no other lag",
    ).default(0)

    override fun execute() {
        val server = PlatformServer.start(NetworkAddress.parse(listen), lag.toLong())
        LoggerFactory.getLogger(PlatformCommand::class.java)
            .info("platform: listening on {}", server.address)
    }
}
