package org.hibiscusproxy.daemon.forwarding

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.TestTimeSource
import kotlin.time.TimeSource
import org.hibiscusproxy.daemon.settings.ForwarderSettings
import org.hibiscusproxy.forwarding.ControllerClock
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.ForwardingRoute
import org.hibiscusproxy.forwarding.ForwardingService
import org.hibiscusproxy.forwarding.RegisteredVersions
import org.hibiscusproxy.forwarding.RequestKind
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.forwarding.ServiceShare
import org.hibiscusproxy.forwarding.ServiceVersion
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.ControlMessage
import org.hibiscusproxy.protocol.FleetLoad
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.RoutingUpdate
import org.hibiscusproxy.protocol.TargetList

/** A forwarder on loopback without controllers, for targets that the test defines. */
internal class ForwarderFixture(
    retrySlack: Double = 10.0,
    time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    secondAttemptShare: Double = 0.0,
) : AutoCloseable {
    private object NoControllers : ControllerLink {
        override fun sendToAll(message: ControlMessage) = Unit

        override fun sendToLeader(message: ControlMessage) = Unit
    }

    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    val loop = group.next()
    val node = ForwardingNode(
        ForwarderSettings(
            ANY_PORT,
            ANY_PORT,
            targetList = ANY_PORT,
            retrySlack = retrySlack,
            secondAttemptShare = secondAttemptShare,
        ),
        HeaderWireFormat,
        loop,
        SimpleMeterRegistry(),
        NoControllers,
        time,
    )
    private val server = ForwardingServer(group, node)
    private val callers = server.listenForCallers(ANY_PORT)

    /** Routes "/" to the services of [targets] by their weights. */
    fun route(
        kind: RequestKind,
        targets: Map<ServiceName, List<NetworkAddress>>,
        weights: Map<ServiceName, Int> = targets.mapValues { 1 },
        maximumTargets: Int = 2,
    ) = onLoop {
        val route = ForwardingRoute(
            "all",
            "calls.example",
            "/",
            kind,
            timeoutMilliseconds = TIMEOUT_MILLISECONDS,
            objectiveMilliseconds = TIMEOUT_MILLISECONDS,
            shares = weights.map { (service, weight) -> ServiceShare(service, weight) },
            maximumTargets = maximumTargets,
            isResumable = kind == RequestKind.STREAMING,
        )
        val services = targets.keys.map { ForwardingService(it, "/health", 100) }
        val listed = targets.flatMap { (service, addresses) ->
            addresses.mapIndexed { index, address ->
                DiscoveredTarget(
                    TargetName("$service-$index"),
                    service,
                    address,
                    DataCenterName("dc-1"),
                    isLeaving = false,
                    slots = 1_000,
                    version = VERSION,
                )
            }
        }
        val versions = targets.keys.mapTo(LinkedHashSet()) { ServiceVersion(it, VERSION) }
        node.updateTargets(TargetList(listed, RegisteredVersions(1, versions)), controllerClock())
        val configuration = RoutingConfiguration(1, listOf(route), services)
        node.applyRouting(RoutingUpdate(1, configuration, emptySet()))
        node.updateFleetLoad(FleetLoad(1, emptyList()))
    }

    /** Lets [duration] pass, during which a leader reports that there is one forwarder. */
    fun pass(time: TestTimeSource, duration: Duration) = onLoop {
        time += duration
        node.updateFleetLoad(FleetLoad(1, emptyList()))
    }

    fun <T> onLoop(block: () -> T): T = loop.submit(block).get()

    fun connect() = Socket(callers.host, callers.port).also { it.soTimeout = 10_000 }

    /** Sends a request on a new connection and returns the first line of the answer. */
    fun exchange(identifier: String, extra: String = "", deadline: Long = 2_000): String =
        connect().use {
            it.write(head(identifier, extra, deadline))
            it.getInputStream().bufferedReader().readLine().orEmpty()
        }

    override fun close() {
        server.close()
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    companion object {
        val VERSION = SoftwareVersion("v1")
        const val TIMEOUT_MILLISECONDS = 5_000L
        private val ANY_PORT = NetworkAddress("127.0.0.1", 0)

        fun head(identifier: String, extra: String = "", deadline: Long = 2_000) =
            "POST / HTTP/1.1\r\nHost: calls.example\r\nX-Request-Id: $identifier\r\n" +
                "X-Deadline-Ms: $deadline\r\n$extra" +
                (if ("Content-Length" in extra) "" else "Content-Length: 0\r\n") + "\r\n"
    }
}

/** Clock of a controller whose lists state no times. */
internal fun controllerClock() =
    ControllerClock(ProcessName("c1"), Incarnation(1), TimeSource.Monotonic)

internal fun Socket.write(text: String) = getOutputStream().write(text.encodeToByteArray())
