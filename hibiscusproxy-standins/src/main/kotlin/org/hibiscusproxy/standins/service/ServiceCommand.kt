package org.hibiscusproxy.standins.service

import kotlinx.cli.ArgType
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import org.hibiscusproxy.model.NetworkAddress
import org.slf4j.LoggerFactory

/** Subcommand `service`. */
class ServiceCommand : Subcommand("service", "Run a plain service stand-in") {
    private val listen by option(ArgType.String, "listen", description = "Address, host:port")
        .required()
    private val instance by option(ArgType.String, "name", description = "Name of the instance")
        .required()
    private val delay by option(
        ArgType.Int,
        "delay-milliseconds",
        description = "Response delay without X-Delay-Milliseconds",
    ).default(0)

    override fun execute() {
        val server = ServiceServer.start(NetworkAddress.parse(listen), instance, delay.toLong())
        LoggerFactory.getLogger(ServiceCommand::class.java)
            .info("service: {} listening on {}", instance, server.address)
    }
}
