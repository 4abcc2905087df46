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

/** Entry, sidecars and targets together, with a fake controller. */
class DataPathTest {
    private val fleet = TestFleet { it.copy(maximumBodyBytes = 50_000) }
    private val engine = FakeTarget()
    private val otherEngine = FakeTarget()
    private val desk = FakeTarget()
    private val otherDesk = FakeTarget()
    private val release = CountDownLatch(1)

    private val chatPath = "/v1/chat/completions"
    private val slotsPath = "/slots?day=2"

    @AfterTest
    fun close() {
        release.countDown()
        listOf(fleet, engine, otherEngine, desk, otherDesk).forEach { it.close() }
    }

    private fun start(): Sidecar {
        val sidecar = fleet.sidecar("desk", desk.url, BOOKING)
        fleet.start(fleet.sidecar("engine", engine.url), sidecar)
        return sidecar
    }

    private fun startTwoEngines() = fleet.start(
        fleet.sidecar("engine", engine.url),
        fleet.sidecar("other", otherEngine.url),
    )

    private fun startTwoDesks() = fleet.start(
        fleet.sidecar("desk", desk.url, BOOKING),
        fleet.sidecar("other", otherDesk.url, BOOKING),
    )

    private fun calls(path: String, vararg targets: FakeTarget): Int =
        targets.sumOf { it.callsOf(path).size }

    /** The target takes calls and answers none before [release]. */
    private fun FakeTarget.hold() {
        behaviour = { _, call ->
            if (!call.path.startsWith("/v1/cancel")) release.await(10, TimeUnit.SECONDS)
            false
        }
    }

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
            assertEquals(listOf("slot 7"), desk.callsOf(slotsPath).map { it.body })
            assertEquals(422, fleet.send(fleet.booking("key-1", "slot 8")).statusCode())
            assertEquals(1, calls(slotsPath, desk))
        }

        /** Guards against answers that are swapped between callers under concurrency. */
        @Test
        fun `fifty concurrent streams each with their own tokens`() {
            listOf(engine, otherEngine).forEach {
                it.tokens = 20
                it.pauseMilliseconds = 2
            }
            startTwoEngines()
            val answers = List(50) { it to fleet.sendLater(fleet.chat("question $it")) }
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
            assertTrue(engine.calls.isEmpty() && desk.calls.isEmpty())
        }

        @Test
        fun `without any target say not run and when to try again`() {
            start()
            desk.close()
            val answer = fleet.send(fleet.booking("key-1", "slot 7"))
            assertEquals(503, answer.statusCode())
            assertEquals("not-run", answer.headers().firstValue("X-Hibiscus-Outcome").get())
            assertEquals("1", answer.headers().firstValue("Retry-After").get())
        }

        /** Guards against new work in a data centre that a controller may have taken out. */
        @Test
        fun `follow the end of the sidecars' leases`() {
            fleet.controller.leaseMilliseconds = 600
            val sidecar = start()
            fleet.controller.grantsLeases = false
            awaitUntil { !sidecar.isReady }
            assertEquals(503, fleet.send(fleet.booking("key-1", "slot 7")).statusCode())
            assertEquals(0, calls(slotsPath, desk))
        }
    }

    @Nested
    inner class LostTargets {
        /** Guards against a broken stream that a caller takes for a complete answer. */
        @Test
        fun `end a relayed stream with an error event and no end mark`() {
            engine.behaviour = { exchange, _ ->
                exchange.startStream()
                exchange.event("first")
                throw IOException("crash")
            }
            start()
            val body = fleet.send(fleet.chat("a")).body()
            assertTrue(body.startsWith("data: first\n\nevent: error\ndata: {\"error\""), body)
            assertFalse("[DONE]" in body)
            awaitUntil {
                fleet.controller.received.any { it is CrashReport }
            }
        }

        /** Guards against a resend that crashes a third target before the crash is known. */
        @Test
        fun `are reported before their callers learn of the failure`() {
            engine.behaviour = { exchange, _ ->
                exchange.startStream()
                exchange.event("first")
                throw IOException("crash")
            }
            start()
            fleet.send(fleet.chat("a"))
            assertTrue(fleet.controller.received.any { it is CrashReport })
        }

        @Test
        fun `are replaced while nothing was relayed`() {
            val fails = { exchange: HttpExchange ->
                exchange.startStream()
                exchange.event("lost")
                throw IOException("crash")
            }
            engine.behaviour = { exchange, _ -> fails(exchange) }
            startTwoEngines()
            repeat(6) {
                val answer = fleet.send(fleet.chat("whole $it", stream = false))
                assertEquals(
                    streamOf("whole $it", 3).replace("stream\":true", "stream\":false"),
                    answer.body(),
                )
            }
            assertTrue(calls(chatPath, engine) > 0)
        }

        @Test
        fun `cut the connection of a whole body that was begun`() {
            engine.behaviour = { exchange, _ ->
                exchange.sendResponseHeaders(200, 1_000_000)
                exchange.responseBody.write(ByteArray(400_000))
                exchange.responseBody.flush()
                throw IOException("crash")
            }
            start()
            assertFailsWith<IOException> { fleet.send(fleet.chat("a", stream = false)) }
        }

        @Test
        fun `that refuse the connection lead to exactly one run elsewhere`() {
            startTwoDesks()
            desk.close()
            repeat(8) {
                assertEquals("slot $it", fleet.send(fleet.booking("key-$it", "slot $it")).body())
            }
            assertEquals(8, calls(slotsPath, otherDesk))
        }
    }

    @Nested
    inner class Bookings {
        private fun assertUnknownAndNeverAgain(answer: HttpResponse<String>) {
            assertEquals(502, answer.statusCode())
            assertEquals("unknown", answer.headers().firstValue("X-Hibiscus-Outcome").get())
            assertEquals(409, fleet.send(fleet.booking("key-1", "slot 7")).statusCode())
            assertEquals(1, calls(slotsPath, desk, otherDesk))
        }

        @Test
        fun `run at most once when the target is lost`() {
            listOf(desk, otherDesk).forEach {
                it.behaviour = { _, _ -> throw IOException("crash") }
            }
            startTwoDesks()
            assertUnknownAndNeverAgain(fleet.send(fleet.booking("key-1", "slot 7")))
        }

        @Test
        fun `run at most once when the sidecar is lost`() {
            val sidecars = listOf(
                fleet.sidecar("desk", desk.url, BOOKING),
                fleet.sidecar("other", otherDesk.url, BOOKING),
            )
            fleet.start(*sidecars.toTypedArray())
            listOf(desk, otherDesk).forEach { it.hold() }
            val answer = fleet.sendLater(fleet.booking("key-1", "slot 7"))
            awaitUntil { calls(slotsPath, desk, otherDesk) == 1 }
            sidecars[if (desk.calls.isEmpty()) 1 else 0].close()
            assertUnknownAndNeverAgain(answer.get())
        }

        /** Guards against a resend that does not get what the first call did. */
        @Test
        fun `run on when their caller leaves, for its resend`() {
            start()
            desk.hold()
            fleet.sendLater(fleet.booking("key-1", "slot 7")).let { first ->
                awaitUntil { calls(slotsPath, desk) == 1 }
                assertEquals(409, fleet.send(fleet.booking("key-1", "slot 7")).statusCode())
                first.cancel(true)
            }
            release.countDown()
            awaitUntil { fleet.send(fleet.booking("key-1", "slot 7")).statusCode() == 200 }
            assertEquals(1, calls(slotsPath, desk))
        }
    }

    @Nested
    inner class Callers {
        private fun rawChat(): Socket {
            val body = chatBody("a")
            val address = fleet.entry.address
            return Socket(address.host, address.port).apply {
                receiveBufferSize = 4_096
                val head = listOf(
                    "POST $chatPath HTTP/1.1",
                    "Host: entry",
                    "X-Team: repair",
                    "Content-Length: ${body.length}",
                ).joinToString("\r\n")
                getOutputStream().write("$head\r\n\r\n$body".toByteArray())
            }
        }

        private fun awaitCancel() {
            awaitUntil { engine.calls.any { it.path.startsWith("/v1/cancel/entry-") } }
            awaitUntil {
                fleet.entryMeters.find("hibiscus.entry.in-progress").gauge()?.value() == 0.0
            }
        }

        @Test
        fun `that leave before the first byte have their work cancelled`() {
            start()
            engine.hold()
            rawChat().use { awaitUntil { calls(chatPath, engine) == 1 } }
            awaitCancel()
        }

        @Test
        fun `that leave within a stream have their work cancelled`() {
            engine.tokens = 1_000
            engine.pauseMilliseconds = 5
            start()
            rawChat().use { it.getInputStream().read() }
            awaitCancel()
        }

        /** Guards against an entry whose memory one caller can fill. */
        @Test
        fun `that do not read are cut off and their work cancelled`() {
            engine.behaviour = { exchange, call ->
                if (call.path == chatPath) {
                    exchange.startStream()
                    val filler = "y".repeat(10_000)
                    repeat(5_000) { exchange.event(filler) }
                }
                call.path == chatPath
            }
            start()
            rawChat().use { awaitCancel() }
        }
    }

    @Nested
    inner class Shutdowns {
        @Test
        fun `of an entry finish what is in progress`() = runBlocking {
            start()
            desk.hold()
            val answer = fleet.sendLater(fleet.booking("key-1", "slot 7"))
            awaitUntil { calls(slotsPath, desk) == 1 }
            val cutOff = async(Dispatchers.IO) { fleet.entry.drain(5.seconds) }
            awaitUntil { fleet.send(fleet.chat("a")).statusCode() == 503 }
            assertFalse(fleet.entry.isReady)
            release.countDown()
            assertEquals("slot 7" to 0, answer.get().body() to cutOff.await())
        }

        @Test
        fun `of a sidecar finish what is in progress and refuse the rest`() = runBlocking {
            val sidecar = start()
            desk.hold()
            val answer = fleet.sendLater(fleet.booking("key-1", "slot 7"))
            awaitUntil { calls(slotsPath, desk) == 1 }
            val cutOff = async(Dispatchers.IO) { sidecar.drain(5.seconds) }
            awaitUntil { !sidecar.isReady }
            assertEquals(503, fleet.send(fleet.booking("key-2", "slot 8")).statusCode())
            release.countDown()
            assertEquals("slot 7" to 0, answer.get().body() to cutOff.await())
            assertEquals(1, calls(slotsPath, desk))
        }
    }
}
