package org.hibiscusproxy.daemon.forwarding

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.LastHttpContent
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
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
import org.hibiscusproxy.protocol.StreamQuery
import org.hibiscusproxy.protocol.TargetList

/**
 * The data path of a forwarder in virtual time, on one thread. Callers and targets are channels
 * without sockets, so that a test decides in which order everything happens.
 */
internal class SimulatedForwarder(random: Random = Random(1)) : ControllerLink {
    private val time = TestTimeSource()
    private val clock = EmbeddedChannel().also { it.freezeTime() }
    private val open = ArrayList<EmbeddedChannel>()
    val registry = SimpleMeterRegistry()

    /** Queries for the origins of streams that were sent to the controllers. */
    val queries = ArrayList<StreamQuery>()

    /** Connections that the forwarder opened and that are not established yet. */
    val connecting = ArrayList<SimulatedConnection>()

    /** Connections that were established. */
    val established = ArrayList<SimulatedConnection>()

    val node = ForwardingNode(
        ForwarderSettings(ANY_PORT, ANY_PORT, targetList = ANY_PORT, retrySlack = 1_000.0),
        HeaderWireFormat,
        clock.eventLoop(),
        registry,
        this,
        time,
        connector = { address, initialize -> connect(address, initialize) },
        random = random,
    )

    override fun sendToAll(message: ControlMessage) {
        if (message is StreamQuery) queries += message
    }

    override fun sendToLeader(message: ControlMessage) = Unit

    private fun connect(address: NetworkAddress, initialize: (Channel) -> Unit): ChannelFuture {
        val channel = EmbeddedChannel().also(open::add)
        val promise = channel.newPromise()
        connecting += SimulatedConnection(address, channel, promise, initialize)
        return promise
    }

    /** Opens the connection of a caller. */
    fun connectCaller(): SimulatedCaller {
        val caller = CallerConnection(node, node.admission::remove)
        check(node.admission.admit(caller)) { "caller is not admitted" }
        val channel = EmbeddedChannel(caller.received, HttpServerCodec(), caller).also(open::add)
        return SimulatedCaller(channel)
    }

    /** Publishes a route for each kind of request, named by its path. */
    fun publishRouting() {
        val routes = RequestKind.entries.map { kind ->
            ForwardingRoute(
                kind.name,
                HOST,
                path(kind),
                kind,
                TIMEOUT.inWholeMilliseconds,
                TIMEOUT.inWholeMilliseconds,
                shares = listOf(ServiceShare(SERVICE, 1)),
                maximumTargets = 2,
                isPublic = true,
                isResumable = kind == RequestKind.STREAMING,
            )
        }
        val services = listOf(ForwardingService(SERVICE, "/health", 100))
        val configuration = RoutingConfiguration(1, routes, services)
        node.applyRouting(RoutingUpdate(1, configuration, emptySet()))
        node.updateFleetLoad(FleetLoad(1, emptyList()))
    }

    /** Replaces the list of targets by [count] targets. */
    fun listTargets(count: Int) = receive(TargetList(List(count, ::target), VERSIONS), clock("c1"))

    /** Delivers [list] of the controller of [clock]. */
    fun receive(list: TargetList, clock: ControllerClock) = node.updateTargets(list, clock)

    /** Returns a clock of [controller] that nothing is known of. */
    fun clock(controller: String) = ControllerClock(ProcessName(controller), Incarnation(1), time)

    /** Runs what is due now. */
    fun turn() {
        (open + clock).forEach {
            it.runPendingTasks()
            it.runScheduledPendingTasks()
        }
    }

    /** Lets [duration] pass, a millisecond at a time. */
    fun elapse(duration: Duration) = repeat(duration.inWholeMilliseconds.toInt()) {
        time += 1.milliseconds
        clock.advanceTimeBy(1, TimeUnit.MILLISECONDS)
        turn()
    }

    /** Establishes [connection]; the forwarder sends its request in a later turn. */
    fun establish(connection: SimulatedConnection) {
        connecting -= connection
        established += connection
        connection.establish()
    }

    /** Lets [connection] fail before it is established. */
    fun refuse(connection: SimulatedConnection) {
        connecting -= connection
        connection.refuse()
    }

    /** Establishes all connections and returns the requests that are sent, in order. */
    fun establishAll(): List<String> = buildList {
        while (connecting.isNotEmpty()) {
            val next = connecting.toList()
            next.forEach(::establish)
            turn()
            next.forEach { addAll(it.takeRequests()) }
        }
    }

    companion object {
        const val HOST = "calls.example"
        val TIMEOUT = 6.seconds
        val SERVICE = ServiceName("orders")
        val VERSION = SoftwareVersion("v1")
        val VERSIONS = RegisteredVersions(1, setOf(ServiceVersion(SERVICE, VERSION)))
        private val ANY_PORT = NetworkAddress("127.0.0.1", 0)
        private const val FIRST_PORT = 9_000

        /** Returns the target [number]. */
        fun target(number: Int) = DiscoveredTarget(
            TargetName("target-$number"),
            SERVICE,
            NetworkAddress("127.0.0.1", FIRST_PORT + number),
            DataCenterName("dc-1"),
            isLeaving = false,
            slots = 1_000,
            version = VERSION,
        )

        fun path(kind: RequestKind) = "/${kind.name.lowercase()}/"
    }
}

/** A connection from the forwarder to the target at [address]. */
internal class SimulatedConnection(
    val address: NetworkAddress,
    private val channel: EmbeddedChannel,
    private val promise: ChannelPromise,
    private val initialize: (Channel) -> Unit,
) {
    val isOpen: Boolean get() = channel.isOpen

    fun establish() {
        initialize(channel)
        promise.setSuccess()
    }

    fun refuse() {
        promise.setFailure(java.net.ConnectException("refused"))
    }

    /** Identifiers of the requests that arrived since the last call. */
    fun takeRequests(): List<String> =
        IDENTIFIER.findAll(channel.takeText()).map { it.groupValues[1] }.toList()

    /** Sends [text] to the forwarder. */
    fun write(text: String) {
        if (channel.isOpen) channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.UTF_8))
    }

    /** Closes the connection at the target's side. */
    fun close() {
        channel.close()
    }

    private companion object {
        val IDENTIFIER = Regex("x-request-id: (\\S+)", RegexOption.IGNORE_CASE)
    }
}

/** A caller's connection to the forwarder. */
internal class SimulatedCaller(private val channel: EmbeddedChannel) {
    private val decoder = EmbeddedChannel(HttpResponseDecoder())

    val isOpen: Boolean get() = channel.isOpen

    /** Sends a request of [kind], with the [extra] header lines. */
    fun send(
        identifier: String,
        kind: RequestKind,
        deadline: Duration = SimulatedForwarder.TIMEOUT,
        extra: String = "",
    ) {
        val text = "POST ${SimulatedForwarder.path(kind)} HTTP/1.1\r\n" +
            "Host: ${SimulatedForwarder.HOST}\r\nX-Request-Id: $identifier\r\n" +
            "X-Deadline-Ms: ${deadline.inWholeMilliseconds}\r\n$extra" +
            "Content-Length: ${identifier.length}\r\n\r\n$identifier"
        channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.UTF_8))
    }

    fun close() {
        channel.close()
    }

    /** Parts of answers that arrived since the last call, in order. */
    fun takeParts(): List<AnswerPart> {
        decoder.writeInbound(Unpooled.copiedBuffer(channel.takeText(), Charsets.UTF_8))
        val parts = ArrayList<AnswerPart>()
        while (true) {
            val message = decoder.readInbound<Any>() ?: return parts
            if (message is HttpResponse) {
                val outcome = message.headers()["X-Hibiscus-Outcome"]
                parts += AnswerPart.Head(message.status().code(), outcome)
            }
            if (message is HttpContent) {
                parts += AnswerPart.Content(message.content().toString(Charsets.UTF_8))
                message.release()
            }
            if (message is LastHttpContent) parts += AnswerPart.End
        }
    }
}

/** A part of an answer to a caller. */
internal sealed class AnswerPart {
    data class Head(val status: Int, val outcome: String?) : AnswerPart()

    data class Content(val text: String) : AnswerPart()

    data object End : AnswerPart()
}

private fun EmbeddedChannel.takeText(): String = buildString {
    while (true) {
        val bytes = readOutbound<ByteBuf>() ?: break
        append(bytes.toString(Charsets.UTF_8))
        bytes.release()
    }
}
