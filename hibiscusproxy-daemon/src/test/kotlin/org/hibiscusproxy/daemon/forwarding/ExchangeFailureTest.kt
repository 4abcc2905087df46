package org.hibiscusproxy.daemon.forwarding

import com.sun.net.httpserver.HttpServer
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpHeaders
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import org.hibiscusproxy.daemon.settings.ForwarderSettings
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.ForwardingRoute
import org.hibiscusproxy.forwarding.ForwardingService
import org.hibiscusproxy.forwarding.RequestKind
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.forwarding.ServiceShare
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.ControlMessage
import org.hibiscusproxy.protocol.RoutingUpdate
import org.hibiscusproxy.protocol.TargetList
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested

/** Guards against requests without an answer after an exception while they are handled. */
class ExchangeFailureTest {
    /** Throws at [step]. */
    private class FaultyWireFormat(private val step: Step) : PlainWireFormat() {
        private fun failAt(current: Step) = check(current != step) { "fault of the test at $step" }

        private var requests = 0

        override fun readRequest(headers: HttpHeaders): RequestMetadata {
            requests += 1
            failAt(Step.READ_REQUEST)
            if (requests == 2) failAt(Step.READ_SECOND_REQUEST)
            return super.readRequest(headers)
        }

        override fun writeTargetHeaders(headers: HttpHeaders, values: TargetRequestHeaders) =
            failAt(Step.WRITE_TARGET_HEADERS)

        override fun readResponse(status: Int, headers: HttpHeaders): ResponseMetadata {
            failAt(Step.READ_RESPONSE)
            return super.readResponse(status, headers)
        }

        override fun removeConnectionHeaders(headers: HttpHeaders) = failAt(Step.WRITE_RESPONSE)
    }

    private enum class Step {
        READ_REQUEST,
        READ_SECOND_REQUEST,
        WRITE_TARGET_HEADERS,
        READ_RESPONSE,
        WRITE_RESPONSE,
    }

    private object NoControllers : ControllerLink {
        override fun sendToAll(message: ControlMessage) = Unit

        override fun sendToLeader(message: ControlMessage) = Unit
    }

    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val target = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0).apply {
        createContext("/") { exchange ->
            exchange.responseHeaders.add("X-Request-Id", "request")
            exchange.sendResponseHeaders(OK, BODY.length.toLong())
            exchange.responseBody.use { it.write(BODY.encodeToByteArray()) }
        }
        start()
    }
    private val service = ServiceName("orders")

    @AfterEach
    fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
        target.stop(0)
    }

    private fun answer(
        step: Step,
        kind: RequestKind = RequestKind.SAFE,
        connectionHeaders: List<String> = listOf("close"),
    ): String {
        val loop = group.next()
        val settings = ForwarderSettings(ANY_PORT, ANY_PORT, targetList = ANY_PORT)
        val wire = FaultyWireFormat(step)
        val node = ForwardingNode(settings, wire, loop, SimpleMeterRegistry(), NoControllers)
        val server = ForwardingServer(group, node)
        val callers = server.listenForCallers(ANY_PORT)
        loop.submit { receiveRouting(node, kind) }.get()
        return Socket(callers.host, callers.port).use { caller ->
            caller.soTimeout = ANSWER_MILLISECONDS
            val requests = connectionHeaders.joinToString("") { connection ->
                "POST / HTTP/1.1\r\nHost: calls.example\r\nX-Request-Id: request\r\n" +
                    "X-Deadline-Ms: 9000\r\nConnection: $connection\r\nContent-Length: 0\r\n\r\n"
            }
            caller.getOutputStream().write(requests.encodeToByteArray())
            try {
                caller.getInputStream().readAllBytes().decodeToString()
            } catch (_: SocketTimeoutException) {
                "no answer"
            }
        }
    }

    private fun receiveRouting(node: ForwardingNode, kind: RequestKind) {
        val shares = listOf(ServiceShare(service, 1))
        val route =
            ForwardingRoute("orders", "calls.example", "/", kind, 9_000, 9_000, shares = shares)
        val services = listOf(ForwardingService(service, "/health", 100))
        val listed = DiscoveredTarget(
            TargetName("orders-1"),
            service,
            NetworkAddress("127.0.0.1", target.address.port),
            DataCenterName("dc-1"),
            isLeaving = false,
            slots = 10,
        )
        node.updateTargets(TargetList(listOf(listed)), controllerClock())
        node.applyRouting(
            RoutingUpdate(1, RoutingConfiguration(1, listOf(route), services), emptySet()),
        )
    }

    @Nested
    inner class `An exception` {
        @Test
        fun `while the request is read is answered as not run`() =
            assertContains(answer(Step.READ_REQUEST), "not-run")

        @Test
        fun `while a pipelined request is read is answered as not run`() {
            val connections = listOf("keep-alive", "close")
            val answers = answer(Step.READ_SECOND_REQUEST, connectionHeaders = connections)
            assertContains(answers, BODY)
            assertContains(answers, "not-run")
        }

        @Test
        fun `before the request is sent to a target is answered as not run`() =
            assertContains(answer(Step.WRITE_TARGET_HEADERS), "not-run")

        @Test
        fun `while the target's answer is read is answered as unknown`() =
            assertContains(answer(Step.READ_RESPONSE, RequestKind.UNSAFE), "unknown")

        @Test
        fun `while a buffered answer is forwarded is answered as unknown`() =
            assertContains(answer(Step.WRITE_RESPONSE), "unknown")

        @Test
        fun `while the head of an answer is forwarded is answered as unknown`() =
            assertContains(answer(Step.WRITE_RESPONSE, RequestKind.UNSAFE), "unknown")
    }

    private companion object {
        val ANY_PORT = NetworkAddress("127.0.0.1", 0)
        const val OK = 200
        const val BODY = "answer"
        const val ANSWER_MILLISECONDS = 3_000
    }
}
