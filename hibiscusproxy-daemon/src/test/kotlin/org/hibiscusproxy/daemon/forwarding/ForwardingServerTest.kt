package org.hibiscusproxy.daemon.forwarding

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.io.IOException
import java.net.ConnectException
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import org.hibiscusproxy.daemon.settings.ForwarderSettings
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.protocol.ControlMessage
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested

class ForwardingServerTest {
    private object NoControllers : ControllerLink {
        override fun sendToAll(message: ControlMessage) = Unit

        override fun sendToLeader(message: ControlMessage) = Unit
    }

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

    @AfterEach
    fun close() {
        server.close()
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun send() = Socket(callers.host, callers.port).apply {
        val request = "POST / HTTP/1.1\r\nHost: calls.example\r\nX-Request-Id: queued\r\n" +
            "X-Deadline-Ms: 400\r\nContent-Length: 0\r\n\r\n"
        getOutputStream().write(request.encodeToByteArray())
        soTimeout = ANSWER_MILLISECONDS
    }

    private fun statusLine(caller: Socket): String = try {
        caller.use { it.getInputStream().bufferedReader().readLine() ?: "closed" }
    } catch (failure: IOException) {
        "$failure"
    }

    @Nested
    inner class `A listener that is closed while its loop is busy` {
        /** Guards against connections that the kernel has accepted and resets at the close. */
        @Test
        fun `leaves no request in its queue unanswered`() {
            val blocked = loop.submit { Thread.sleep(BUSY_MILLISECONDS) }
            val waiting = List(CALLERS) { send() }
            val stopped = loop.submit(server::stopAccepting)
            blocked.get()
            stopped.get()
            val answers = waiting.map(::statusLine).toSet()
            assertEquals(setOf("HTTP/1.1 503 Service Unavailable"), answers)
            assertFailsWith<ConnectException> { send() }
        }
    }

    private companion object {
        val ANY_PORT = NetworkAddress("127.0.0.1", 0)
        const val BUSY_MILLISECONDS = 500L
        const val ANSWER_MILLISECONDS = 3_000

        /** More than the loop accepts in one turn. */
        const val CALLERS = 40
    }
}
