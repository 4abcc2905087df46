package org.hibiscusproxy.daemon.forwarding

import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.forwarding.RequestKind
import org.hibiscusproxy.model.ServiceName
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested

/** Guards against requests that crash targets again and again because no crash is recognized. */
class CrashDetectorTest {
    private val fixture = ForwarderFixture()
    private val warmUp = CountDownLatch(KEPT_CONNECTIONS)
    private val target = RecordingTarget(::answer)

    /** What the target does on the request that ends it. */
    private var end: (Socket) -> Unit = {}

    private fun answer(request: ReceivedRequest, socket: Socket) {
        if (request.identifier == CRASHING) return end(socket)
        if (request.identifier.startsWith("warm")) {
            warmUp.countDown()
            warmUp.await(5, TimeUnit.SECONDS)
        }
        socket.respond(request, extra = "Keep-Alive: timeout=30\r\n")
    }

    @AfterEach
    fun close() {
        fixture.close()
        target.close()
    }

    /**
     * Sends the request that [ends] the target, on one of several connections if there are
     * [kept] ones; returns the number of crashes that the forwarder recognizes.
     */
    private fun crashes(kept: Boolean, ends: (Socket) -> Unit): Long {
        end = ends
        fixture.route(
            RequestKind.UNSAFE,
            mapOf(ServiceName("orders") to listOf(target.address)),
            maximumTargets = 1,
        )
        if (kept) {
            List(KEPT_CONNECTIONS) { thread { fixture.exchange("warm-$it") } }.forEach { it.join() }
        }
        fixture.exchange(CRASHING)
        val sentAt = TimeSource.Monotonic.markNow()
        while (fixture.node.crashes.sequence == 0L && sentAt.elapsedNow() < 1.seconds) {
            Thread.sleep(10)
        }
        return fixture.node.crashes.sequence
    }

    @Nested
    inner class `A target that has ended is recognized` {
        @Test
        fun `if it refuses new connections`() = assertEquals(
            1,
            crashes(kept = false) {
                target.close()
                it.close()
            },
        )

        @Test
        fun `if another process holds its port and closes new connections`() = assertEquals(
            1,
            crashes(kept = false) {
                target.isRejecting = true
                target.closeConnections()
            },
        )

        @Test
        fun `if another process holds its port and all its connections were closed`() =
            assertEquals(1, crashes(kept = true) { target.closeConnections() })

        @Test
        fun `if its port is closed later than its connections`() = assertEquals(
            1,
            crashes(kept = false) {
                target.closeConnections()
                Thread.sleep(LATE.inWholeMilliseconds)
                target.close()
                target.closeConnections()
            },
        )
    }

    @Nested
    inner class `A target that lives is not taken for one that has ended` {
        @Test
        fun `if it closes one of several connections`() =
            assertEquals(0, crashes(kept = true) { it.close() })

        @Test
        fun `if it closes its only connection and accepts others`() =
            assertEquals(0, crashes(kept = false) { it.close() })
    }

    private companion object {
        const val KEPT_CONNECTIONS = 4
        const val CRASHING = "crashing"

        /** Processes may end a moment after they closed a connection. */
        val LATE = 150.milliseconds
    }
}
