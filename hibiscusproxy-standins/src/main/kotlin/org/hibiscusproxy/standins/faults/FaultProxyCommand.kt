package org.hibiscusproxy.standins.faults

import kotlinx.cli.ArgType
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import org.hibiscusproxy.model.NetworkAddress
import org.slf4j.LoggerFactory

/** Subcommand `fault-proxy`. */
class FaultProxyCommand : Subcommand("fault-proxy", "Run a TCP proxy that injects faults") {
    private val listen by option(ArgType.String, "listen", description = "Address, host:port")
        .required()
    private val to by option(ArgType.String, "to", description = "Address to forward to, host:port")
        .required()
    private val control by option(
        ArgType.String,
        "control",
        description = "Address of the HTTP control API, host:port",
    ).required()
    private val seed by option(ArgType.Int, "seed", description = "Seed of the jitter").default(1)

    override fun execute() {
        val target = NetworkAddress.parse(to)
        val proxy = FaultProxy(NetworkAddress.parse(listen), target, seed.toLong())
        val server = FaultProxyControl(NetworkAddress.parse(control), proxy)
        LoggerFactory.getLogger(FaultProxyCommand::class.java).info(
            "faults: {} forwarding to {}, control API on {}",
            proxy.address,
            target,
            server.address,
        )
    }
}
