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

/** Sends an operator's calls to the controllers of a fleet under test. */
class ScenarioOperator(keyFile: Path, private val controllers: List<NetworkAddress>) :
    AutoCloseable {
    private val key = FleetKey.read(keyFile).getOrElse { error("$it") }
    private val client = OperatorClient(controllers, key, CALL_TIMEOUT)
    private var changeCount = 0

    /** Publishes [objects] based on the current version and waits until they are effective. */
    fun publish(objects: FleetObjects): ChangeReport = publish(client, objects, state().version)

    /** Publishes [objects] based on version [basedOn]; tries the controller at [index] first. */
    fun publishThrough(index: Int, objects: FleetObjects, basedOn: Long): ChangeReport {
        val order = controllers.drop(index) + controllers.take(index)
        return OperatorClient(order, key, CALL_TIMEOUT).use { publish(it, objects, basedOn) }
    }

    /** Sets the state of a data centre or target and waits until it is effective. */
    fun setState(collection: String, name: String, isOut: Boolean): ChangeReport {
        val body = StateBody(nextChangeIdentifier())
        val state = if (isOut) "out" else "in"
        val text = OperatorJson.format.encodeToString(StateBody.serializer(), body)
        return requireAccepted(post(client, "/$collection/$name/$state", text))
    }

    /** Publishes [objects] based on version [basedOn]; does not wait until they are effective. */
    fun publishWithoutWaiting(objects: FleetObjects, basedOn: Long): ChangeOutcome =
        publish(client, objects, basedOn, Duration.ZERO).outcome

    /** Status that the leader reports; null when no controller answers as leader. */
    fun leaderStatus(): StatusReport? = controllers.firstNotNullOfOrNull { controller ->
        OperatorClient(listOf(controller), key, STATUS_TIMEOUT).use { controllerClient ->
            (controllerClient.call("GET", "/status") as? CallResult.Answered)
                ?.let { OperatorJson.format.decodeFromString(StatusReport.serializer(), it.body) }
                ?.takeIf { it.name == it.leader }
        }
    }

    /** Changes the members of the controllers' cluster; false when the change was refused. */
    fun changeMember(body: MemberBody): Boolean {
        val text = OperatorJson.format.encodeToString(MemberBody.serializer(), body)
        val result = client.call("POST", "/members", text)
        return result is CallResult.Answered && result.status == HTTP_OK
    }

    /** State of the fleet that the leader reports. */
    fun state(): FleetState = when (val result = client.call("GET", "/state")) {
        is CallResult.Answered ->
            OperatorJson.format.decodeFromString(FleetState.serializer(), result.body)
        else -> error("reading the state failed: $result")
    }

    override fun close() = client.close()

    private fun publish(
        client: OperatorClient,
        objects: FleetObjects,
        basedOn: Long,
        timeout: Duration = EFFECTIVE_TIMEOUT,
    ) = post(
        client,
        "/objects",
        OperatorJson.format.encodeToString(
            PublishBody.serializer(),
            PublishBody(nextChangeIdentifier(), basedOn, objects),
        ),
        timeout,
    )

    private fun post(
        client: OperatorClient,
        path: String,
        body: String,
        timeout: Duration = EFFECTIVE_TIMEOUT,
    ): ChangeReport {
        val query = "?wait=${timeout.inWholeSeconds}"
        return when (val result = client.call("POST", path + query, body, timeout)) {
            is CallResult.Answered ->
                OperatorJson.format.decodeFromString(ChangeReport.serializer(), result.body)
            else -> error("no answer to the change: $result")
        }
    }

    private fun requireAccepted(report: ChangeReport): ChangeReport {
        check(report.outcome is ChangeOutcome.Accepted) { "change not accepted: $report" }
        return report
    }

    @Synchronized
    private fun nextChangeIdentifier() =
        ChangeIdentifier("scenario-${System.nanoTime()}-${changeCount++}")

    private companion object {
        val CALL_TIMEOUT: Duration = 20.seconds
        val EFFECTIVE_TIMEOUT: Duration = 10.seconds
        const val HTTP_OK = 200
        val STATUS_TIMEOUT: Duration = Duration.ZERO
    }
}
