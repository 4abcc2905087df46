package org.hibiscusproxy.daemon.forwarding

import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.hibiscusproxy.forwarding.RequestKind
import org.hibiscusproxy.model.ServiceName
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested

/** Second attempts of requests whose first attempt is slow. */
class SecondAttemptTest {
    private val fixture = ForwarderFixture(retrySlack = 10_000.0, secondAttemptShare = 0.05)
    private val end = CountDownLatch(1)
    private val target: RecordingTarget = RecordingTarget(::answer)

    /** Holds the first attempt of each request whose identifier says so. */
    private fun answer(request: ReceivedRequest, socket: Socket) {
        val identifier = request.identifier
        val isFirst = attempts(identifier) == 1
        when {
            identifier.startsWith("held") && isFirst -> end.await(10, TimeUnit.SECONDS)

            identifier.startsWith("failing") && isFirst -> {
                while (attempts(identifier) < 2) Thread.sleep(1)
                socket.respond(request, status = 500)
            }

            identifier.startsWith("failing") -> {
                Thread.sleep(200)
                socket.respond(request)
            }

            else -> socket.respond(request)
        }
    }

    @AfterEach
    fun close() {
        end.countDown()
        fixture.close()
        target.close()
    }

    private fun attempts(identifier: String): Int =
        target.requests.count { it.identifier == identifier }

    /** Routes to two targets and sends as many requests as make a slow answer known as such. */
    private fun route(kind: RequestKind, maximumTargets: Int = 2) {
        val targets = mapOf(ServiceName("orders") to listOf(target.address, target.address))
        fixture.route(kind, targets, maximumTargets = maximumTargets)
        repeat(USUAL_REQUESTS) { assertContains(fixture.exchange("usual-$it"), "200") }
    }

    @Nested
    inner class `A slow request` {
        @Test
        fun `that is repeatable is answered by another target`() {
            route(RequestKind.SAFE)
            assertContains(fixture.exchange("held", deadline = DEADLINE), "200")
            assertEquals(2, attempts("held"))
        }

        @Test
        fun `for a resumable stream is answered by another target`() {
            route(RequestKind.STREAMING)
            assertContains(fixture.exchange("held", deadline = DEADLINE), "200")
            assertEquals(2, attempts("held"))
        }

        @Test
        fun `that is not repeatable runs once`() {
            route(RequestKind.UNSAFE)
            assertTrue("200" !in fixture.exchange("held", deadline = 500))
            assertEquals(1, attempts("held"))
        }

        @Test
        fun `whose route allows one target runs once`() {
            route(RequestKind.SAFE, maximumTargets = 1)
            assertTrue("200" !in fixture.exchange("held", deadline = 500))
            assertEquals(1, attempts("held"))
        }

        @Test
        fun `is not answered with a failure while the other attempt is in progress`() {
            route(RequestKind.SAFE)
            assertContains(fixture.exchange("failing", deadline = DEADLINE), "200")
            assertEquals(2, attempts("failing"))
        }
    }

    @Nested
    inner class `The limit` {
        @Test
        fun `bounds second attempts of a burst of slow requests`() {
            route(RequestKind.SAFE)
            val identifiers = List(8) { "held-$it" }
            identifiers.forEach { fixture.exchange(it, deadline = 300) }
            assertTrue(identifiers.count { attempts(it) > 1 } <= 4, "${target.requests.size}")
        }
    }

    private companion object {
        const val USUAL_REQUESTS = 60
        const val DEADLINE = 4_000L
    }
}
