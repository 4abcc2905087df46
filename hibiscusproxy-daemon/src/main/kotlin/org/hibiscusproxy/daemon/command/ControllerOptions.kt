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

/** Common options of commands that call controllers. */
internal class ControllerOptions(parser: ArgParser) {
    private val controllers by parser.option(
        ArgType.String,
        fullName = "controllers",
        shortName = "c",
        description = "Addresses of the operator interfaces of the controllers, host:port,...",
    ).required()
    private val keyFile by parser.option(
        ArgType.String,
        fullName = "key-file",
        shortName = "k",
        description = "File with the fleet key",
    ).required()
    private val timeoutSeconds by parser.option(
        ArgType.Int,
        fullName = "timeout",
        description = "Seconds until a call times out",
    ).default(DEFAULT_TIMEOUT_SECONDS)

    /** Parses the addresses; returns an error message when one is invalid. */
    fun addresses(): Result<List<NetworkAddress>, String> = try {
        Ok(controllers.split(',').map { NetworkAddress.parse(it.trim()) })
    } catch (failure: IllegalArgumentException) {
        Err("--controllers: ${failure.message}")
    }

    /** Creates a client; returns an error message when the key cannot be loaded. */
    fun client(
        addresses: List<NetworkAddress>,
        timeout: Duration = timeoutSeconds.seconds,
    ): Result<OperatorClient, String> {
        val key = FleetKey.read(Path.of(keyFile)).getOrElse { return Err(describe(it)) }
        return Ok(OperatorClient(addresses, key, timeout))
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
