package org.hibiscusproxy.daemon.command

import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.ObjectFile

/** `get`: prints the published objects in the form of an object file, or the whole state. */
class GetCommand : OperatorCommand("get", "Print the published objects") {
    private val options = ControllerOptions(this)
    private val isWholeState by option(
        ArgType.Boolean,
        fullName = "state",
        description = "Print version and operational states too",
    ).default(false)

    override fun run(): ExitCode = withClient(options) { client, _ ->
        handle(client.call("GET", "/state"), FleetState.serializer()) { state ->
            if (isWholeState) {
                print(FleetState.serializer(), state)
            } else {
                output.println("// version ${state.version}")
                output.println(ObjectFile.format(state.objects))
            }
            ExitCode.DONE
        }
    }
}
