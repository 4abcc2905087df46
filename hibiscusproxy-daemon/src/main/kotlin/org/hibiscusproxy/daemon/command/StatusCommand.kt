package org.hibiscusproxy.daemon.command

import com.github.michaelbull.result.getOrElse
import kotlin.time.Duration
import org.hibiscusproxy.daemon.controller.StatusReport
import org.hibiscusproxy.model.NetworkAddress

/** `status`: prints the role, term, version and members reported by each given controller. */
class StatusCommand : OperatorCommand("status", "Print the status of the given controllers") {
    private val options = ControllerOptions(this)

    override fun run(): ExitCode {
        val addresses = options.addresses().getOrElse { return usage(it) }
        val exitCodes = addresses.map(::report)
        // The response of one controller suffices to determine the state of the fleet.
        return exitCodes.firstOrNull { it == ExitCode.DONE } ?: exitCodes.first()
    }

    private fun report(address: NetworkAddress): ExitCode {
        val client = options.client(listOf(address), Duration.ZERO).getOrElse { return usage(it) }
        return client.use {
            handle(it.call("GET", "/status"), StatusReport.serializer()) { report ->
                print(StatusReport.serializer(), report)
                ExitCode.DONE
            }
        }
    }
}
