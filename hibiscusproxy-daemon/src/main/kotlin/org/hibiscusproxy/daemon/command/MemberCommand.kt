package org.hibiscusproxy.daemon.command

import com.github.michaelbull.result.get
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.hibiscusproxy.daemon.controller.MemberAction
import org.hibiscusproxy.daemon.controller.MemberBody
import org.hibiscusproxy.daemon.controller.OperatorErrorType
import org.hibiscusproxy.daemon.controller.OperatorJson
import org.hibiscusproxy.daemon.controller.StatusReport
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName

/**
 * `member add|promote|remove|replace`: changes the voting members. `replace` restores a controller
 * that has lost its disk: it removes the old identity, adds the new one with which the controller
 * has contacted the leader, and promotes it once it has caught up.
 */
class MemberCommand : OperatorCommand("member", "Change the voting controllers") {
    private val options = ControllerOptions(this)
    private val timeoutSeconds by option(
        ArgType.Int,
        fullName = "patience",
        description = "Seconds to wait until the controller contacts the leader and catches up",
    ).default(DEFAULT_TIMEOUT_SECONDS)
    private val action by argument(
        ArgType.Choice(listOf("add", "promote", "remove", "replace"), { it }),
        description = "Action",
    )
    private val controller by argument(ArgType.String, description = "Name of the controller")

    override fun run(): ExitCode = withClient(options) { client, addresses ->
        val name = ProcessName(controller)
        when (action) {
            "add" -> add(client, addresses, name)
            "promote" -> promote(client, name)
            "remove" -> send(client, MemberBody(MemberAction.REMOVE, name))
            else -> replace(client, addresses, name)
        }
    }

    private fun replace(
        client: OperatorClient,
        addresses: List<NetworkAddress>,
        name: ProcessName,
    ): ExitCode {
        val status = poll { leaderStatus(addresses)?.takeIf { it.identityOf(name) != null } }
            ?: return refuse("$name has not contacted the leader with a new identity")
        if (status.members.any { it.process == name }) {
            val removed = send(client, MemberBody(MemberAction.REMOVE, name))
            if (removed != ExitCode.DONE) return removed
        }
        val added = add(client, addresses, name)
        return if (added == ExitCode.DONE) promote(client, name) else added
    }

    private fun add(
        client: OperatorClient,
        addresses: List<NetworkAddress>,
        name: ProcessName,
    ): ExitCode {
        val identity = poll { leaderStatus(addresses)?.identityOf(name) }
            ?: return refuse("$name has not contacted the leader")
        return send(client, MemberBody(MemberAction.ADD, name, identity))
    }

    /** Retries on a refusal, since the leader refuses a member that has not caught up yet. */
    private fun promote(client: OperatorClient, name: ProcessName): ExitCode {
        val body = MemberBody(MemberAction.PROMOTE, name)
        val deadline = TimeSource.Monotonic.markNow() + timeoutSeconds.seconds
        while (true) {
            val result = client.call("POST", PATH, encode(body))
            val error = (result as? CallResult.Answered)?.let { OperatorClient.errorOf(it.body) }
            val isRefused = error?.type == OperatorErrorType.MEMBERSHIP_REFUSED
            if (!isRefused || deadline.hasPassedNow()) return report(result, body)
            Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
        }
    }

    private fun send(client: OperatorClient, body: MemberBody): ExitCode =
        report(client.call("POST", PATH, encode(body)), body)

    private fun report(result: CallResult, body: MemberBody): ExitCode =
        handle(result, StatusReport.serializer()) {
            output.println("${body.process}: ${body.action.name.lowercase()} done")
            ExitCode.DONE
        }

    private fun encode(body: MemberBody): String =
        OperatorJson.format.encodeToString(MemberBody.serializer(), body)

    private fun refuse(message: String): ExitCode {
        errors.println(message)
        return ExitCode.REFUSED
    }

    private fun leaderStatus(addresses: List<NetworkAddress>): StatusReport? =
        addresses.firstNotNullOfOrNull { address ->
            options.client(listOf(address), Duration.ZERO).get()?.use { client ->
                (client.call("GET", "/status") as? CallResult.Answered)
                    ?.takeIf { OperatorClient.errorOf(it.body) == null }
                    ?.let { OperatorJson.format.decodeFromString(STATUS, it.body) }
                    ?.takeIf { it.name == it.leader }
            }
        }

    private fun StatusReport.identityOf(name: ProcessName): Long? =
        strangers.find { it.process == name }?.identity

    private fun <T : Any> poll(read: () -> T?): T? {
        val deadline = TimeSource.Monotonic.markNow() + timeoutSeconds.seconds
        while (true) {
            read()?.let { return it }
            if (deadline.hasPassedNow()) return null
            Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
        }
    }

    private companion object {
        const val PATH = "/members"
        const val DEFAULT_TIMEOUT_SECONDS = 30
        val POLL_INTERVAL = 200.milliseconds
        val STATUS = StatusReport.serializer()
    }
}
