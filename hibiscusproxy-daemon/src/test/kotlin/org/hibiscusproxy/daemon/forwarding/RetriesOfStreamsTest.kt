package org.hibiscusproxy.daemon.forwarding

import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import org.hibiscusproxy.admission.Fingerprints
import org.hibiscusproxy.forwarding.RequestKind
import org.hibiscusproxy.forwarding.ServiceVersion
import org.hibiscusproxy.model.ServiceName
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested

/** Guards against requests that earn retries at a service that they do not reach. */
class RetriesOfStreamsTest {
    private val chosen = ServiceName("chosen")
    private val origin = ServiceName("origin")
    private val target = RecordingTarget(::answer)
    private val fixture = ForwarderFixture().also {
        val targets = mapOf(chosen to listOf(target.address), origin to listOf(target.address))
        it.route(RequestKind.STREAMING, targets, weights = mapOf(chosen to 1_000_000, origin to 1))
    }

    private fun answer(request: ReceivedRequest, socket: Socket) = socket.respond(request)

    @AfterEach
    fun close() {
        fixture.close()
        target.close()
    }

    private fun earned(service: ServiceName) = fixture.onLoop {
        generateSequence { fixture.node.retryLimiter.tryTake(service, null) }
            .takeWhile { it }.count()
    }

    @Nested
    inner class Streams {
        @Test
        fun `that go on at the service that began them earn retries there`() {
            fixture.onLoop {
                val stream = Fingerprints.ofStream(null, "first")
                fixture.node.recordStream(
                    stream,
                    ServiceVersion(origin, ForwarderFixture.VERSION),
                    10.minutes,
                )
            }
            repeat(30) {
                val extra = "Last-Event-Id: 3\r\nResumes: first\r\n"
                assertContains(fixture.exchange("again-$it", extra), "200")
            }
            assertEquals(listOf(0, 1), listOf(chosen, origin).map(::earned))
        }

        @Test
        fun `that go on nowhere earn none`() {
            val extra = "Last-Event-Id: 3\r\nResumes: unknown\r\n"
            val statuses = List(30) { fixture.connect() }
                .onEachIndexed { index, caller ->
                    caller.write(ForwarderFixture.head("again-$index", extra))
                }
                .map { socket -> socket.use { it.getInputStream().bufferedReader().readLine() } }
            assertTrue(statuses.all { "503" in it }, "$statuses")
            assertEquals(listOf(0, 0), listOf(chosen, origin).map(::earned))
        }

        @Test
        fun `that begin earn retries at the service chosen for them`() {
            repeat(30) { assertContains(fixture.exchange("new-$it"), "200") }
            assertEquals(listOf(1, 0), listOf(chosen, origin).map(::earned))
        }
    }
}
