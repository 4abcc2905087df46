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
    furtherActions: List<String> = emptyList(),
) : OperatorCommand(name, description) {
    private val options = ControllerOptions(this)
    internal val change = ChangeCall(this, this)
    internal val action by argument(
        ArgType.Choice(statesByAction.keys.toList() + furtherActions, { it }),
        description = "What to do",
    )
    internal val objectName by argument(
        ArgType.String,
        fullName = "object",
        description = "Name of the $name",
    )

    override fun run(): ExitCode = withClient(options) { client, _ -> act(client) }

    internal open fun act(client: OperatorClient): ExitCode {
        val body = StateBody(change.identifier, change.basedOn?.toLong())
        val text = OperatorJson.format.encodeToString(StateBody.serializer(), body)
        val encoded = URLEncoder.encode(objectName, Charsets.UTF_8)
        return change.send(client, "/$collection/$encoded/${statesByAction.getValue(action)}", text)
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

/** `instance drain|return|order`: takes a target out of service, returns it, orders its engine. */
class InstanceCommand :
    StateCommand(
        "instance",
        "Drain an instance, return it to service, or give its engine an order",
        "targets",
        mapOf("drain" to "out", "return" to "in"),
        listOf(ORDER),
    ) {
    private val order = OrderOptions(this, this)

    override fun act(client: OperatorClient): ExitCode = when {
        action == ORDER && change.basedOn != null -> usage("--based-on has no meaning with order")
        action == ORDER -> order.send(client, objectName, change.identifier)
        order.areGiven -> usage("--kind and --value have no meaning with $action")
        else -> super.act(client)
    }

    private companion object {
        const val ORDER = "order"
    }
}
