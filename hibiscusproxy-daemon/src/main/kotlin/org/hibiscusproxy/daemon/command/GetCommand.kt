package org.hibiscusproxy.daemon.command

import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.ObjectFile

/** `get`: prints the published objects in the object file format, or the complete state. */
class GetCommand : OperatorCommand("get", "Print the published objects") {
    private val options = ControllerOptions(this)
    private val printsState by option(
        ArgType.Boolean,
        fullName = "state",
        description = "Also print the version and the operational states",
    ).default(false)

    override fun run(): ExitCode = withClient(options) { client, _ ->
        handle(client.call("GET", "/state"), FleetState.serializer()) { state ->
            if (printsState) {
                print(FleetState.serializer(), state)
            } else {
                output.println("// version ${state.version}")
                output.println(ObjectFile.format(state.objects))
            }
            ExitCode.DONE
        }
    }
}
