package org.hibiscusproxy.daemon.command

import java.net.URLEncoder
import kotlinx.cli.ArgType
import org.hibiscusproxy.daemon.controller.OperatorJson
import org.hibiscusproxy.daemon.controller.StateBody

/** A command that takes a part of the fleet out of service or returns it. */
abstract class StateCommand internal constructor(
    name: String,
    description: String,
    private val collection: String,
    private val statesByAction: Map<String, String>,
) : OperatorCommand(name, description) {
    private val options = ControllerOptions(this)
    private val change = ChangeCall(this, this)
    private val action by argument(
        ArgType.Choice(statesByAction.keys.toList(), { it }),
        description = "What to do",
    )
    private val objectName by argument(
        ArgType.String,
        fullName = "object",
        description = "Name of the $name",
    )

    override fun run(): ExitCode = withClient(options) { client, _ ->
        val body = StateBody(change.identifier, change.basedOn?.toLong())
        val text = OperatorJson.format.encodeToString(StateBody.serializer(), body)
        val encoded = URLEncoder.encode(objectName, Charsets.UTF_8)
        change.send(client, "/$collection/$encoded/${statesByAction.getValue(action)}", text)
    }
}

/** `data-center out|in`: takes a data centre out of service or returns it. */
class DataCenterCommand :
    StateCommand(
        "data-center",
        "Take a data centre out of service, or return it",
        "data-centers",
        mapOf("out" to "out", "in" to "in"),
    )

/** `instance drain|return`: takes a target out of service or returns it. */
class InstanceCommand :
    StateCommand(
        "instance",
        "Drain an instance, or return it to service",
        "targets",
        mapOf("drain" to "out", "return" to "in"),
    )
