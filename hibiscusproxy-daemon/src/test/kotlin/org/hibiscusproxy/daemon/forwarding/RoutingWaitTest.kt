package org.hibiscusproxy.daemon.forwarding

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
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

/** Requests that come before the routing, as after the start of all processes at once. */
class RoutingWaitTest {
    private object NoControllers : ControllerLink {
        override fun sendToAll(message: ControlMessage) = Unit

        override fun sendToLeader(message: ControlMessage) = Unit
    }

    /** Records the requests it receives and never answers. */
    private class SilentTarget : AutoCloseable {
        private val server = ServerSocket(0, 500, InetAddress.getLoopbackAddress())
        val address = NetworkAddress("127.0.0.1", server.localPort)
        val identifiers = CopyOnWriteArrayList<String>()

        init {
            thread(isDaemon = true) {
                while (!server.isClosed) {
                    val socket = runCatching { server.accept() }.getOrNull() ?: break
                    thread(isDaemon = true) { record(socket) }
                }
            }
        }

        private fun record(socket: Socket) = runCatching {
            socket.getInputStream().bufferedReader().forEachLine { line ->
                if (line.startsWith("X-Request-Id", ignoreCase = true)) {
                    identifiers += line.substringAfter(": ")
                }
            }
        }

        override fun close() = server.close()
    }

    private val target = SilentTarget()
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val node = ForwardingNode(
        ForwarderSettings(ANY_PORT, ANY_PORT, targetList = ANY_PORT),
        PlainWireFormat(),
        loop,
        SimpleMeterRegistry(),
        NoControllers,
    )
    private val server = ForwardingServer(group, node)
    private val callers = server.listenForCallers(ANY_PORT)
    private val service = ServiceName("orders")

    @AfterEach
    fun close() {
        server.close()
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
        target.close()
    }

    private fun send(identifier: String) = Socket(callers.host, callers.port).also {
        val request = "POST / HTTP/1.1\r\nHost: calls.example\r\nX-Request-Id: $identifier\r\n" +
            "X-Deadline-Ms: $DEADLINE_MILLISECONDS\r\nContent-Length: 0\r\n\r\n"
        it.getOutputStream().write(request.encodeToByteArray())
    }

    private fun receiveRouting() {
        val route = ForwardingRoute(
            "orders",
            "calls.example",
            "/",
            RequestKind.SAFE,
            timeoutMilliseconds = DEADLINE_MILLISECONDS,
            objectiveMilliseconds = DEADLINE_MILLISECONDS,
            shares = listOf(ServiceShare(service, 1)),
        )
        val services = listOf(ForwardingService(service, "/health", 100))
        val configuration = RoutingConfiguration(1, listOf(route), services)
        val listed = DiscoveredTarget(
            TargetName("orders-1"),
            service,
            target.address,
            DataCenterName("dc-1"),
            isLeaving = false,
            slots = 1_000,
        )
        node.updateTargets(TargetList(listOf(listed)), controllerClock())
        node.applyRouting(RoutingUpdate(1, configuration, emptySet()))
    }

    @Nested
    inner class Requests {
        @Test
        fun `whose callers left while the loop was busy reach no target`() {
            val leaving = List(LEAVING_CALLERS) { send("left-$it") }
            val staying = send("stays")
            Thread.sleep(200)
            loop.execute {
                // Stands for the start of a process, during which the loop reads nothing.
                leaving.forEach { it.close() }
                Thread.sleep(100)
                receiveRouting()
            }
            Thread.sleep(1_000)
            staying.close()
            assertEquals(listOf("stays"), target.identifiers.toList())
        }

        @Test
        fun `that are read after their callers left reach no target`() {
            loop.submit(::receiveRouting).get()
            val blocked = loop.submit { Thread.sleep(500) }
            repeat(LEAVING_CALLERS) { send("unread-$it").close() }
            val staying = send("stays")
            blocked.get()
            Thread.sleep(1_000)
            staying.close()
            assertEquals(listOf("stays"), target.identifiers.toList())
        }

        @Test
        fun `are answered at their deadline, counted from their arrival`() {
            val sentAt = TimeSource.Monotonic.markNow()
            send("waits").use { caller ->
                Thread.sleep(DEADLINE_MILLISECONDS / 3)
                loop.execute(::receiveRouting)
                val status = caller.getInputStream().bufferedReader().readLine()
                assertContains(status, "504")
            }
            val limit = DEADLINE_MILLISECONDS.milliseconds + 250.milliseconds
            assertTrue(sentAt.elapsedNow() < limit, "answered after ${sentAt.elapsedNow()}")
        }
    }

    private companion object {
        val ANY_PORT = NetworkAddress("127.0.0.1", 0)
        const val LEAVING_CALLERS = 30
        const val DEADLINE_MILLISECONDS = 2_000L
    }
}
