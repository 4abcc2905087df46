package org.hibiscusproxy.daemon.controller

import com.github.michaelbull.result.getOrThrow
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.runBlocking
import org.hibiscusproxy.control.ChangeIdentifier
import org.hibiscusproxy.daemon.command.CallResult
import org.hibiscusproxy.daemon.command.OperatorClient
import org.hibiscusproxy.daemon.settings.ControllerAddress
import org.hibiscusproxy.daemon.settings.ControllerSettings
import org.hibiscusproxy.daemon.transport.FleetKey
import org.hibiscusproxy.daemon.transport.KtorPeerTransport
import org.hibiscusproxy.model.DataCenter
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.Service
import org.hibiscusproxy.model.ServiceKind
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.Team
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.timeline.FleetEvent

/** Runs real controllers on loopback addresses with data folders in [folder]. */
internal class ControllerFixture(
    private val folder: Path,
    names: List<String>,
    private val platformUrl: String? = null,
    private val leaseMilliseconds: Long = 3_000,
) : AutoCloseable {
    val key: FleetKey = FleetKey.of("a fleet key for tests".encodeToByteArray()).getOrThrow {
        IllegalStateException("$it")
    }
    val events = CopyOnWriteArrayList<FleetEvent>()
    private val ports = freePorts(names.size * 2)
    val addresses: List<ControllerAddress> = names.mapIndexed { index, name ->
        ControllerAddress(ProcessName(name), loopback(ports[2 * index]), operators(index))
    }
    val running = LinkedHashMap<ProcessName, Controller>()
    private val transports = HashMap<ProcessName, KtorPeerTransport>()
    private val clients = mutableListOf<AutoCloseable>()

    private fun operators(index: Int) = loopback(ports[2 * index + 1])

    fun start(): ControllerFixture = apply { addresses.forEach { start(it.name) } }

    fun start(name: ProcessName, controllers: List<ControllerAddress> = addresses): Controller {
        val own = addresses.single { it.name == name }
        val settings = ControllerSettings(
            listen = own.address,
            operators = checkNotNull(own.operators),
            dataFolder = "${Files.createDirectories(folder.resolve(name.value))}",
            leaseMilliseconds = leaseMilliseconds,
            platformUrl = platformUrl,
        )
        val transport = transport(name.value)
        val dependencies =
            ControllerDependencies(name, settings, controllers, transport, key, events::add)
        val controller = runBlocking { Controller.start(dependencies) }.getOrThrow {
            IllegalStateException(it.message)
        }
        running[name] = controller
        transports[name] = transport
        return controller
    }

    fun stop(name: ProcessName) {
        running.remove(name)?.close()
        transports.remove(name)?.close()
    }

    fun transport(name: String, target: String? = null, incarnation: Long = 1) = KtorPeerTransport(
        Hello(
            ProcessName(name),
            DataCenterName("lj"),
            Incarnation(incarnation),
            target?.let(::TargetName),
        ),
        key,
        SimpleMeterRegistry(),
    )

    fun client(key: FleetKey = this.key, timeoutSeconds: Int = 10): OperatorClient =
        OperatorClient(addresses.mapNotNull { it.operators }, key, timeoutSeconds.seconds)
            .also { clients += it }

    /** Returns the running controller that reports itself as leader, or null. */
    fun leader(): ProcessName? = addresses.filter { it.name in running }
        .firstNotNullOfOrNull { status(it).takeIf { report -> report.role == "leader" }?.name }

    fun status(address: ControllerAddress): StatusReport =
        OperatorClient(listOfNotNull(address.operators), key, 5.seconds).use { client ->
            val answer = client.call("GET", "/status") as CallResult.Answered
            OperatorJson.format.decodeFromString(StatusReport.serializer(), answer.body)
        }

    override fun close() {
        clients.forEach { it.close() }
        running.keys.toList().forEach(::stop)
    }

    companion object {
        val objects = FleetObjects(
            teams = listOf(Team(TeamName("volta"))),
            services = listOf(Service(ServiceName("booking"), ServiceKind.Plain())),
            dataCenters = listOf(
                DataCenter(DataCenterName("lj"), "eu"),
                DataCenter(DataCenterName("mb"), "eu"),
            ),
            targets = listOf(target("t1", "lj", 9001), target("t2", "mb", 9002)),
        )

        private fun target(name: String, dataCenter: String, port: Int) = Target(
            TargetName(name),
            ServiceName("booking"),
            DataCenterName(dataCenter),
            loopback(port),
        )

        fun loopback(port: Int) = NetworkAddress("127.0.0.1", port)

        fun publishBody(change: String, basedOn: Long, objects: FleetObjects = this.objects) =
            OperatorJson.format.encodeToString(
                PublishBody.serializer(),
                PublishBody(ChangeIdentifier(change), basedOn, objects),
            )

        fun stateBody(change: String) = OperatorJson.format.encodeToString(
            StateBody.serializer(),
            StateBody(ChangeIdentifier(change)),
        )

        fun OperatorClient.change(path: String, body: String): ChangeReport {
            val answer = call("POST", path, body, 20.seconds)
            check(answer is CallResult.Answered) { "$answer" }
            return OperatorJson.format.decodeFromString(ChangeReport.serializer(), answer.body)
        }

        private fun freePorts(count: Int): List<Int> {
            val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
            return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
        }
    }
}
