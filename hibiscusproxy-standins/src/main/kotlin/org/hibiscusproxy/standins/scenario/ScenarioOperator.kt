package org.hibiscusproxy.standins.scenario

import com.github.michaelbull.result.getOrElse
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.control.ChangeIdentifier
import org.hibiscusproxy.control.ChangeOutcome
import org.hibiscusproxy.daemon.command.CallResult
import org.hibiscusproxy.daemon.command.OperatorClient
import org.hibiscusproxy.daemon.controller.ChangeReport
import org.hibiscusproxy.daemon.controller.MemberBody
import org.hibiscusproxy.daemon.controller.OperatorJson
import org.hibiscusproxy.daemon.controller.PublishBody
import org.hibiscusproxy.daemon.controller.StateBody
import org.hibiscusproxy.daemon.controller.StatusReport
import org.hibiscusproxy.daemon.transport.FleetKey
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.NetworkAddress

/** An operator of a fleet under test, who speaks to the controllers' own interface. */
class ScenarioOperator(keyFile: Path, private val controllers: List<NetworkAddress>) :
    AutoCloseable {
    private val key = FleetKey.read(keyFile).getOrElse { error("$it") }
    private val client = OperatorClient(controllers, key, PATIENCE)
    private var changes = 0

    /** Publishes [objects] on top of the present version and waits until they are effective. */
    fun publish(objects: FleetObjects): ChangeReport = publish(client, objects, state().version)

    /** Publishes [objects] based on [basedOn] through the controller number [index] first. */
    fun publishThrough(index: Int, objects: FleetObjects, basedOn: Long): ChangeReport {
        val order = controllers.drop(index) + controllers.take(index)
        return OperatorClient(order, key, PATIENCE).use { publish(it, objects, basedOn) }
    }

    /** Sets the state of a data centre or target and waits until it is effective. */
    fun operate(collection: String, name: String, isOut: Boolean): ChangeReport {
        val body = StateBody(nextChange())
        val state = if (isOut) "out" else "in"
        val text = OperatorJson.format.encodeToString(StateBody.serializer(), body)
        return accepted(post(client, "/$collection/$name/$state", text))
    }

    /** Publishes [objects] based on [basedOn] without waiting until they are effective. */
    fun publishOnly(objects: FleetObjects, basedOn: Long): ChangeOutcome =
        publish(client, objects, basedOn, Duration.ZERO).outcome

    /** Status as the leader gives it; null while there is none. */
    fun leaderStatus(): StatusReport? = controllers.firstNotNullOfOrNull { controller ->
        OperatorClient(listOf(controller), key, STATUS_PATIENCE).use { single ->
            (single.call("GET", "/status") as? CallResult.Answered)
                ?.let { OperatorJson.format.decodeFromString(StatusReport.serializer(), it.body) }
                ?.takeIf { it.name == it.leader }
        }
    }

    /** Changes the members of the controllers' cluster; false when that was refused. */
    fun member(body: MemberBody): Boolean {
        val text = OperatorJson.format.encodeToString(MemberBody.serializer(), body)
        val result = client.call("POST", "/members", text)
        return result is CallResult.Answered && result.status == OK
    }

    /** The fleet's state as the leader has it. */
    fun state(): FleetState = when (val result = client.call("GET", "/state")) {
        is CallResult.Answered ->
            OperatorJson.format.decodeFromString(FleetState.serializer(), result.body)
        else -> error("no state: $result")
    }

    override fun close() = client.close()

    private fun publish(
        client: OperatorClient,
        objects: FleetObjects,
        basedOn: Long,
        wait: Duration = EFFECTIVE_WAIT,
    ) = post(
        client,
        "/objects",
        OperatorJson.format.encodeToString(
            PublishBody.serializer(),
            PublishBody(nextChange(), basedOn, objects),
        ),
        wait,
    )

    private fun post(
        client: OperatorClient,
        path: String,
        body: String,
        wait: Duration = EFFECTIVE_WAIT,
    ): ChangeReport {
        val query = "?wait=${wait.inWholeSeconds}"
        return when (val result = client.call("POST", path + query, body, wait)) {
            is CallResult.Answered ->
                OperatorJson.format.decodeFromString(ChangeReport.serializer(), result.body)
            else -> error("change not answered: $result")
        }
    }

    private fun accepted(report: ChangeReport): ChangeReport {
        check(report.outcome is ChangeOutcome.Accepted) { "not accepted: $report" }
        return report
    }

    @Synchronized
    private fun nextChange() = ChangeIdentifier("scenario-${System.nanoTime()}-${changes++}")

    private companion object {
        val PATIENCE: Duration = 20.seconds
        val EFFECTIVE_WAIT: Duration = 10.seconds
        const val OK = 200
        val STATUS_PATIENCE: Duration = Duration.ZERO
    }
}
