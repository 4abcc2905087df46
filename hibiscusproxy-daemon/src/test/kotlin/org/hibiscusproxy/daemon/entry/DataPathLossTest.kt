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

/** Responses to callers when targets, sidecars or the callers themselves are lost. */
class DataPathLossTest : DataPathFixture() {
    @Nested
    inner class LostTargets {
        /** Guards against a broken stream that looks like a complete answer. */
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
            val failingStream = { exchange: HttpExchange ->
                exchange.startStream()
                exchange.event("lost")
                throw IOException("crash")
            }
            engine.behaviour = { exchange, _ -> failingStream(exchange) }
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
            startTwoBookingTargets()
            bookingTarget.close()
            repeat(8) {
                assertEquals("slot $it", fleet.send(fleet.booking("key-$it", "slot $it")).body())
            }
            assertEquals(8, calls(slotsPath, otherBookingTarget))
        }
    }

    @Nested
    inner class Bookings {
        private fun assertUnknownAndNotRunAgain(answer: HttpResponse<String>) {
            assertEquals(502, answer.statusCode())
            assertEquals("unknown", answer.headers().firstValue("X-Hibiscus-Outcome").get())
            assertEquals(409, fleet.send(fleet.booking("key-1", "slot 7")).statusCode())
            assertEquals(1, calls(slotsPath, bookingTarget, otherBookingTarget))
        }

        @Test
        fun `run at most once when the target is lost`() {
            listOf(bookingTarget, otherBookingTarget).forEach {
                it.behaviour = { _, _ -> throw IOException("crash") }
            }
            startTwoBookingTargets()
            assertUnknownAndNotRunAgain(fleet.send(fleet.booking("key-1", "slot 7")))
        }

        @Test
        fun `run at most once when the sidecar is lost`() {
            val sidecars = listOf(
                fleet.sidecar("desk", bookingTarget.url, BOOKING),
                fleet.sidecar("other", otherBookingTarget.url, BOOKING),
            )
            fleet.start(*sidecars.toTypedArray())
            listOf(bookingTarget, otherBookingTarget).forEach { it.blockUntilReleased() }
            val answer = fleet.sendAsync(fleet.booking("key-1", "slot 7"))
            awaitUntil { calls(slotsPath, bookingTarget, otherBookingTarget) == 1 }
            sidecars[if (bookingTarget.calls.isEmpty()) 1 else 0].close()
            assertUnknownAndNotRunAgain(answer.get())
        }

        /** Guards against a resend that does not get the result of the first call. */
        @Test
        fun `run on when their caller leaves, for its resend`() {
            start()
            bookingTarget.blockUntilReleased()
            fleet.sendAsync(fleet.booking("key-1", "slot 7")).let { first ->
                awaitUntil { calls(slotsPath, bookingTarget) == 1 }
                assertEquals(409, fleet.send(fleet.booking("key-1", "slot 7")).statusCode())
                first.cancel(true)
            }
            release.countDown()
            awaitUntil { fleet.send(fleet.booking("key-1", "slot 7")).statusCode() == 200 }
            assertEquals(1, calls(slotsPath, bookingTarget))
        }
    }

    @Nested
    inner class Callers {
        private fun openRawChat(): Socket {
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
            engine.blockUntilReleased()
            openRawChat().use { awaitUntil { calls(chatPath, engine) == 1 } }
            awaitCancel()
        }

        @Test
        fun `that leave within a stream have their work cancelled`() {
            engine.tokens = 1_000
            engine.pauseMilliseconds = 5
            start()
            openRawChat().use { it.getInputStream().read() }
            awaitCancel()
        }

        /** Guards against a single caller that exhausts the memory of the entry. */
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
            openRawChat().use { awaitCancel() }
        }
    }
}
