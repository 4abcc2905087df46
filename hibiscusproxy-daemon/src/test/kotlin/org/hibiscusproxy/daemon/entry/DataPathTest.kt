package org.hibiscusproxy.daemon.entry

import com.sun.net.httpserver.HttpExchange
import java.io.IOException
import java.net.Socket
import java.net.http.HttpResponse
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.hibiscusproxy.daemon.sidecar.Sidecar
import org.hibiscusproxy.daemon.testing.FakeTarget
import org.hibiscusproxy.daemon.testing.TestFleet
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.BOOKING
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.awaitUntil
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.chatBody
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.streamOf
import org.hibiscusproxy.daemon.testing.event
import org.hibiscusproxy.daemon.testing.startStream
import org.hibiscusproxy.protocol.CrashReport
import org.junit.jupiter.api.Nested

/** Responses to callers through entry and sidecars in normal operation and at shutdown. */
class DataPathTest : DataPathFixture() {
    @Nested
    inner class Answers {
        @Test
        fun `a chat with the target's stream and a whole chat with its length`() {
            start()
            val stream = fleet.send(fleet.chat("how to open the lid"))
            assertEquals(
                200 to streamOf("how to open the lid", 3),
                stream.statusCode() to stream.body(),
            )
            val whole = fleet.send(fleet.chat("how to open the lid", stream = false))
            assertEquals(
                whole.body().length.toString(),
                whole.headers().firstValue("Content-Length").get(),
            )
        }

        @Test
        fun `a booking once and its resend with the stored answer`() {
            start()
            repeat(2) {
                val answer = fleet.send(fleet.booking("key-1", "slot 7"))
                assertEquals(200 to "slot 7", answer.statusCode() to answer.body())
            }
            assertEquals(listOf("slot 7"), bookingTarget.callsOf(slotsPath).map { it.body })
            assertEquals(422, fleet.send(fleet.booking("key-1", "slot 8")).statusCode())
            assertEquals(1, calls(slotsPath, bookingTarget))
        }

        /** Guards against answers delivered to the wrong caller under concurrency. */
        @Test
        fun `fifty concurrent streams each with their own tokens`() {
            listOf(engine, otherEngine).forEach {
                it.tokens = 20
                it.pauseMilliseconds = 2
            }
            startTwoEngines()
            val answers = List(50) { it to fleet.sendAsync(fleet.chat("question $it")) }
            for ((number, answer) in answers) {
                assertEquals(streamOf("question $number", 20), answer.get().body())
            }
        }

        @Test
        fun `a large body in full`() {
            start()
            val text = "x".repeat(49_000)
            assertEquals(text, fleet.send(fleet.booking("large", text)).body())
        }
    }

    @Nested
    inner class Refusals {
        private val team = mapOf("X-Team" to "repair")

        private fun refusal(
            path: String,
            body: String,
            headers: Map<String, String> = team,
        ): String {
            val answer = fleet.send(fleet.request("POST", path, body, headers))
            assertEquals("not-run", answer.headers().firstValue("X-Hibiscus-Outcome").get())
            val type = Regex(""""type":"([^"]*)"""").find(answer.body())!!.groupValues[1]
            return "${answer.statusCode()} $type"
        }

        @Test
        fun `of invalid requests are typed and reach no target`() {
            start()
            assertEquals("400 bad-json", refusal(chatPath, "{"))
            assertEquals("400 bad-request", refusal(chatPath, """{"model":"m","messages":[]}"""))
            assertEquals("400 missing-team", refusal(chatPath, chatBody("a"), emptyMap()))
            assertEquals(
                "403 unknown-team",
                refusal(chatPath, chatBody("a"), mapOf("X-Team" to "nobody")),
            )
            assertEquals(
                "404 unknown-model",
                refusal(chatPath, chatBody("a").replace("manual-reader", "other")),
            )
            assertEquals("404 unknown-service", refusal("/services/other/a", "a"))
            assertEquals("400 missing-idempotency-key", refusal("/services/booking/slots", "a"))
            assertEquals("413 body-too-long", refusal(chatPath, "x".repeat(50_001)))
            assertTrue(engine.calls.isEmpty() && bookingTarget.calls.isEmpty())
        }

        @Test
        fun `without any target say not run and when to try again`() {
            start()
            bookingTarget.close()
            val answer = fleet.send(fleet.booking("key-1", "slot 7"))
            assertEquals(503, answer.statusCode())
            assertEquals("not-run", answer.headers().firstValue("X-Hibiscus-Outcome").get())
            assertEquals("1", answer.headers().firstValue("Retry-After").get())
        }

        /** Guards against new work in a data centre that may have been taken out of service. */
        @Test
        fun `follow the end of the sidecars' leases`() {
            fleet.controller.leaseMilliseconds = 600
            val sidecar = start()
            fleet.controller.grantsLeases = false
            awaitUntil { !sidecar.isReady }
            assertEquals(503, fleet.send(fleet.booking("key-1", "slot 7")).statusCode())
            assertEquals(0, calls(slotsPath, bookingTarget))
        }
    }

    @Nested
    inner class Shutdowns {
        @Test
        fun `of an entry finish what is in progress`() = runBlocking {
            start()
            bookingTarget.blockUntilReleased()
            val answer = fleet.sendAsync(fleet.booking("key-1", "slot 7"))
            awaitUntil { calls(slotsPath, bookingTarget) == 1 }
            val aborted = async(Dispatchers.IO) { fleet.entry.drain(5.seconds) }
            awaitUntil { fleet.send(fleet.chat("a")).statusCode() == 503 }
            assertFalse(fleet.entry.isReady)
            release.countDown()
            assertEquals("slot 7" to 0, answer.get().body() to aborted.await())
        }

        @Test
        fun `of a sidecar finish what is in progress and refuse the rest`() = runBlocking {
            val sidecar = start()
            bookingTarget.blockUntilReleased()
            val answer = fleet.sendAsync(fleet.booking("key-1", "slot 7"))
            awaitUntil { calls(slotsPath, bookingTarget) == 1 }
            val aborted = async(Dispatchers.IO) { sidecar.drain(5.seconds) }
            awaitUntil { !sidecar.isReady }
            assertEquals(503, fleet.send(fleet.booking("key-2", "slot 8")).statusCode())
            release.countDown()
            assertEquals("slot 7" to 0, answer.get().body() to aborted.await())
            assertEquals(1, calls(slotsPath, bookingTarget))
        }
    }
}
