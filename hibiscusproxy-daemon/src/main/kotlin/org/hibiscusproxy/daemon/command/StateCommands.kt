package org.hibiscusproxy.daemon.command

import java.net.URLEncoder
import kotlinx.cli.ArgType
import org.hibiscusproxy.daemon.controller.OperatorJson
import org.hibiscusproxy.daemon.controller.StateBody

/** Base of commands that take part of the fleet out of service or return it to service. */
abstract class StateCommand internal constructor(
    name: String,
    description: String,
    private val collection: String,
    private val statesByAction: Map<String, String>,
    additionalActions: List<String> = emptyList(),
) : OperatorCommand(name, description) {
    private val options = ControllerOptions(this)
    internal val change = ChangeOptions(this, this)
    internal val action by argument(
        ArgType.Choice(statesByAction.keys.toList() + additionalActions, { it }),
        description = "Action",
    )
    internal val objectName by argument(
        ArgType.String,
        fullName = "object",
        description = "Name of the $name",
    )

    override fun run(): ExitCode = withClient(options) { client, _ -> perform(client) }

    internal open fun perform(client: OperatorClient): ExitCode {
        val body = StateBody(change.identifier, change.basedOn?.toLong())
        val text = OperatorJson.format.encodeToString(StateBody.serializer(), body)
        val encoded = URLEncoder.encode(objectName, Charsets.UTF_8)
        return change.send(client, "/$collection/$encoded/${statesByAction.getValue(action)}", text)
    }
}

/** `data-center out|in`: takes a data centre out of service or returns it to service. */
class DataCenterCommand :
    StateCommand(
        "data-center",
        "Take a data centre out of service or return it to service",
        "data-centers",
        mapOf("out" to "out", "in" to "in"),
    )

/** `instance drain|return|order`: drains a target, returns it, or sends an order to its engine. */
class InstanceCommand :
    StateCommand(
        "instance",
        "Drain an instance, return it to service, or send an order to its engine",
        "targets",
        mapOf("drain" to "out", "return" to "in"),
        listOf(ORDER),
    ) {
    private val order = OrderOptions(this, this)

    override fun perform(client: OperatorClient): ExitCode = when {
        action == ORDER && change.basedOn != null -> usage("--based-on is not valid with order")
        action == ORDER -> order.send(client, objectName, change.identifier)
        order.areGiven -> usage("--kind and --value are not valid with $action")
        else -> super.perform(client)
    }

    private companion object {
        const val ORDER = "order"
    }
}
