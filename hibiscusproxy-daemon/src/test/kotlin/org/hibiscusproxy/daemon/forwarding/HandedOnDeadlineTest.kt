package org.hibiscusproxy.daemon.forwarding

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.forwarding.RequestKind
import org.hibiscusproxy.model.ServiceName
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested

/** Guards against deadlines handed to targets that are later than the caller's own. */
class HandedOnDeadlineTest {
    private val time = TestTimeSource()
    private val fixture = ForwarderFixture(retrySlack = 1_000.0, time)
    private val mayAnswer = CountDownLatch(1)
    private val target: RecordingTarget = RecordingTarget { request, socket ->
        when {
            request.identifier.startsWith("broken") && attempts(request.identifier) == 1 -> {
                pass(PAUSE)
                socket.close()
            }

            request.identifier == "first" -> {
                mayAnswer.await(10, TimeUnit.SECONDS)
                socket.respond(request)
            }

            else -> socket.respond(request)
        }
    }

    init {
        fixture.route(
            RequestKind.SAFE,
            mapOf(ServiceName("orders") to listOf(target.address, target.address)),
        )
        // Earns retries before the requests of the test.
        pass(TEN_SECONDS)
    }

    @AfterEach
    fun close() {
        fixture.close()
        target.close()
    }

    private fun attempts(identifier: String): Int = target.requests.count {
        it.identifier ==
            identifier
    }

    /** Stands for time in which the forwarder waits or its process stands still. */
    private fun pass(duration: Duration) = fixture.pass(time, duration)

    /** Sends a request whose body ends [duration] after its head; returns the status line. */
    private fun sendSlowly(identifier: String, duration: Duration): String =
        fixture.connect().use { caller ->
            val extra = "Content-Length: 4\r\nExpect: 100-continue\r\n"
            caller.write(ForwarderFixture.head(identifier, extra))
            val reader = caller.getInputStream().bufferedReader()
            assertContains(reader.readLine(), "100 Continue")
            reader.readLine()
            pass(duration)
            caller.write("body")
            reader.readLine()
        }

    @Nested
    inner class Deadlines {
        @Test
        fun `of requests with a slow body count from their head`() {
            assertContains(sendSlowly("slow", PAUSE), "200")
            assertEquals(500, target.requests.single().deadlineMilliseconds)
        }

        @Test
        fun `that end before the body let no target run the request`() {
            assertFalse("200" in sendSlowly("late", 2_500.milliseconds))
            assertEquals(0, target.requests.size)
        }

        @Test
        fun `of requests behind another on their connection count from their arrival`() {
            fixture.connect().use { caller ->
                val first = ForwarderFixture.head("first")
                caller.write(first + ForwarderFixture.head("second"))
                while (target.requests.isEmpty()) Thread.sleep(1)
                pass(PAUSE)
                mayAnswer.countDown()
                while (target.requests.size < 2) Thread.sleep(1)
            }
            assertEquals(listOf(2_000L, 500L), target.requests.map { it.deadlineMilliseconds })
        }

        @Test
        fun `of repeats after a pause are what is left`() {
            assertContains(fixture.exchange("broken"), "200")
            assertEquals(listOf(2_000L, 500L), target.requests.map { it.deadlineMilliseconds })
        }

        @Test
        fun `that have passed during a pause let no repeat go out`() {
            assertTrue("200" !in fixture.exchange("broken-late", deadline = 1_000))
            assertEquals(1, target.requests.size)
        }
    }

    private companion object {
        val PAUSE = 1_500.milliseconds
        val TEN_SECONDS = 10_000.milliseconds
    }
}
