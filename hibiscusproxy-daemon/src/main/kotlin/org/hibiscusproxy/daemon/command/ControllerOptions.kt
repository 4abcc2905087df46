package org.hibiscusproxy.daemon.command

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import org.hibiscusproxy.daemon.transport.FleetKey
import org.hibiscusproxy.daemon.transport.FleetKeyFailure
import org.hibiscusproxy.model.NetworkAddress

/** Options of all commands that call controllers. */
internal class ControllerOptions(parser: ArgParser) {
    private val controllers by parser.option(
        ArgType.String,
        fullName = "controllers",
        shortName = "c",
        description = "Addresses of the controllers' operators' interfaces, host:port,...",
    ).required()
    private val keyFile by parser.option(
        ArgType.String,
        fullName = "key-file",
        shortName = "k",
        description = "File with the fleet key",
    ).required()
    private val timeout by parser.option(
        ArgType.Int,
        fullName = "timeout",
        description = "Seconds until a call is given up",
    ).default(DEFAULT_TIMEOUT_SECONDS)

    /** Addresses given, or what is wrong with them. */
    fun addresses(): Result<List<NetworkAddress>, String> = try {
        Ok(controllers.split(',').map { NetworkAddress.parse(it.trim()) })
    } catch (failure: IllegalArgumentException) {
        Err("--controllers: ${failure.message}")
    }

    /** A client that gives calls up after [patience], or what is wrong with the options. */
    fun client(
        addresses: List<NetworkAddress>,
        patience: Duration = timeout.seconds,
    ): Result<OperatorClient, String> {
        val key = FleetKey.read(Path.of(keyFile)).getOrElse { return Err(describe(it)) }
        return Ok(OperatorClient(addresses, key, patience))
    }

    private fun describe(failure: FleetKeyFailure): String = when (failure) {
        is FleetKeyFailure.Unreadable -> "cannot read key file ${failure.file}: ${failure.cause}"
        is FleetKeyFailure.TooShort ->
            "the fleet key must have at least ${failure.minimum} bytes: ${failure.bytes}"
    }

    private companion object {
        const val DEFAULT_TIMEOUT_SECONDS = 15
    }
}
