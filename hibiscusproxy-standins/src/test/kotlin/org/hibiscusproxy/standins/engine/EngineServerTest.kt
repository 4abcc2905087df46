package org.hibiscusproxy.standins.engine

import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.awaitility.Awaitility.await
import org.hibiscusproxy.standins.Reply
import org.hibiscusproxy.standins.TestClient
import org.hibiscusproxy.standins.answers.Answer
import org.hibiscusproxy.standins.answers.ChatMessage
import org.hibiscusproxy.standins.answers.ChatResponse
import org.hibiscusproxy.standins.answers.promptOf
import org.hibiscusproxy.standins.anyPort
import org.junit.jupiter.api.Nested

/** Guards against an engine simulation so lenient that it hides faults of the fleet. */
class EngineServerTest {
    private val exits = CopyOnWriteArrayList<Int>()
    private val servers = ArrayList<EngineServer>()
    private val defaults = EngineOptions(
        name = "e",
        tokenMilliseconds = 5,
        prefillMillisecondsPerThousandTokens = 0.0,
        eventLagMilliseconds = 0,
        eventGapShare = 0.0,
    )
    private val longPrompt = (1..100).joinToString(" ") { "word$it" }

    @AfterTest
    fun closeServers() = servers.forEach(EngineServer::close)

    private fun start(options: EngineOptions = defaults): TestClient {
        val server = EngineServer.start(anyPort, options) { exits += it }
        servers += server
        return TestClient(server.address)
    }

    private fun answerTo(prompt: String, tokens: Int): String =
        Answer.to(promptOf(listOf(ChatMessage("user", prompt)))).text(tokens)

    private fun TestClient.stats(): EngineStats = send("GET", "/stats").json()

    private fun awaitTrue(condition: () -> Boolean) =
        await().atMost(5, TimeUnit.SECONDS).pollInterval(10, TimeUnit.MILLISECONDS).until(condition)

    private fun milliseconds(action: () -> Unit): Long {
        val start = System.nanoTime()
        action()
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)
    }

    /** Occupies a slot or a place in the queue with a long stream. */
    private fun TestClient.occupy(id: String, priority: String? = null) {
        val before = stats().let { it.running + it.waiting }
        thread(isDaemon = true) {
            runCatching { chat(id, tokens = 2_000, stream = true, id = id, priority = priority) }
        }
        awaitTrue { stats().let { it.running + it.waiting } > before }
    }

    @Nested
    inner class Answers {
        @Test
        fun `without streaming report prompt tokens and cached tokens`() {
            val client = start()

            val first = client.chat(longPrompt).json<ChatResponse>()
            val second = client.chat(longPrompt).json<ChatResponse>()

            assertEquals(answerTo(longPrompt, 4), first.choices.single().message.content)
            assertEquals(0, first.usage.promptTokensDetails.cachedTokens)
            assertEquals(102, second.usage.promptTokens)
            assertEquals(96, second.usage.promptTokensDetails.cachedTokens)
            assertEquals(4, second.usage.completionTokens)
        }

        @Test
        fun `with streaming send one timestamped token per chunk and the end marker`() {
            val reply = start().chat("hi", tokens = 3, stream = true)

            val text = reply.chunks.joinToString("") { it.choices.single().delta.content.orEmpty() }
            assertEquals(answerTo("hi", 3), text)
            assertEquals(listOf(0, 1, 2, 3), reply.chunks.map { it.tokenIndex })
            assertEquals(reply.chunks.map { it.sentAt }.sorted(), reply.chunks.map { it.sentAt })
            assertEquals("length", reply.chunks.last().choices.single().finishReason)
            assertEquals(3, reply.chunks.last().usage?.promptTokens)
            assertEquals("[DONE]", reply.events.last())
        }

        @Test
        fun `of 200 concurrent streams are all complete`() {
            val client = start(defaults.copy(slots = 200))
            val replies = CopyOnWriteArrayList<Reply>()

            val callers = (1..200).map {
                thread { replies += client.chat("prompt $it", tokens = 100, stream = true) }
            }
            callers.forEach(Thread::join)

            assertEquals(
                200,
                replies.count {
                    it.events.last() == "[DONE]" && it.chunks.size == 101
                },
            )
            assertEquals(200, client.stats().completed)
        }

        @Test
        fun `to invalid chat requests are typed errors`() {
            val reply = start().send("POST", "/v1/chat/completions", "{}")

            assertEquals(400, reply.status)
            assertTrue("\"type\":\"invalid-request\"" in reply.body, reply.body)
        }

        @Test
        fun `on a reused connection arrive`() {
            val client = start()

            val replies = (1..50).map { client.chat("again", tokens = 1, stream = it % 2 == 0) }

            assertEquals(setOf(200), replies.map { it.status }.toSet())
        }
    }

    @Nested
    inner class Cancelling {
        @Test
        fun `through its route ends the stream without the end marker`() {
            val client = start()
            client.occupy("r1")

            assertEquals("""{"requestId":"r1","cancelled":true}""", cancel(client, "r1").body)
            assertEquals("""{"requestId":"r1","cancelled":false}""", cancel(client, "r1").body)
            assertEquals(404, cancel(client, "r2").status)
            assertEquals(1, client.stats().cancelled)
            assertEquals(0, client.stats().running)
        }

        @Test
        fun `happens when the client of a stream disconnects`() = disconnect(stream = true)

        @Test
        fun `happens when the client of a whole answer disconnects`() = disconnect(stream = false)

        private fun disconnect(stream: Boolean) {
            val client = start()
            val call = client.chatCall("leave", tokens = 2_000, stream = stream)
            thread { runCatching { call.execute().use { it.body.string() } } }
            awaitTrue { client.stats().running == 1 }

            call.cancel()

            awaitTrue { client.stats().running == 0 }
            assertEquals(1, client.stats().cancelled)
        }

        private fun cancel(client: TestClient, id: String) = client.send("POST", "/v1/cancel/$id")
    }

    @Nested
    inner class Resuming {
        @Test
        fun `continues from any token while tokens are still generated`() {
            val client = start(defaults.copy(resumeMilliseconds = 2_000))
            val call = client.chatCall("resume", tokens = 60, stream = true, id = "r1")
            call.execute().use { it.body.source().readUtf8Line() }

            val reply = client.send("GET", "/v1/streams/r1?from=5")

            assertEquals((5..60).toList(), reply.chunks.map { it.tokenIndex })
            assertEquals("[DONE]", reply.events.last())
            assertEquals(mapOf("r1" to 1), client.stats().executions)
        }

        @Test
        fun `is rejected for a cancelled or unknown request`() {
            val client = start()
            client.occupy("r1")
            client.send("POST", "/v1/cancel/r1")

            assertEquals(410, client.send("GET", "/v1/streams/r1?from=0").status)
            assertEquals(404, client.send("GET", "/v1/streams/r2?from=0").status)
        }
    }

    @Nested
    inner class Batching {
        @Test
        fun `never exceeds its slots and starts interactive requests first`() {
            val client = start(defaults.copy(slots = 1))
            client.occupy("holder")
            client.occupy("low", "background")
            client.occupy("high", "interactive")

            client.send("POST", "/v1/cancel/holder")

            awaitTrue { client.stats().started == 2L }
            assertEquals(setOf("holder", "high"), client.stats().executions.keys)
            assertEquals(1, client.stats().maximumRunning)
        }

        @Test
        fun `prefills uncached tokens only`() {
            val client = start(defaults.copy(prefillMillisecondsPerThousandTokens = 3_000.0))

            val first = milliseconds { client.chat(longPrompt, tokens = 1) }
            val second = milliseconds { client.chat(longPrompt, tokens = 1) }

            assertTrue(first >= 300, "first took $first ms")
            assertTrue(second < first - 150, "second took $second ms, first $first ms")
        }
    }

    @Nested
    inner class ColdStarting {
        private val cold = defaults.copy(coldSeconds = 600.0, coldSlots = 1, coldRequests = 2)

        @Test
        fun `exits when more than the cold slots are running`() {
            val client = start(cold)
            client.occupy("r1")
            assertEquals(emptyList(), exits)

            client.occupy("r2")

            assertEquals(listOf(70), exits)
        }

        @Test
        fun `ends after enough completed requests`() {
            val client = start(cold)
            repeat(2) { client.chat("warm up", tokens = 1) }

            client.occupy("r1")
            client.occupy("r2")

            assertEquals(emptyList(), exits)
            assertEquals(false, client.stats().cold)
        }

        @Test
        fun `stalls instead of exiting when so configured`() {
            val stalling = cold.copy(fallOver = FallOver.STALL, stallSeconds = 0.5)
            val client = start(stalling)
            client.occupy("r1")

            val waited = milliseconds { client.chat("r2", tokens = 1) }

            assertEquals(1, client.stats().fallOvers)
            assertTrue(waited >= 500, "answered after $waited ms")
            assertEquals(emptyList(), exits)
        }

        @Test
        fun `a poison request crashes the engine`() {
            val client = start()

            client.chat("please CRASH-TARGET now", tokens = 1)

            assertEquals(listOf(70), exits)
        }
    }

    @Nested
    inner class Orders {
        private fun order(client: TestClient, number: Int): Int = client.send(
            "POST",
            "/orders",
            """{"fencingNumber": $number, "kind": "load-model", "value": "m"}""",
        ).status

        @Test
        fun `with a stale fencing number are rejected by engines that check it`() {
            val client = start()

            assertEquals(listOf(200, 200, 409), listOf(4, 5, 4).map { order(client, it) })
            assertEquals(5, client.send("GET", "/orders").json<EngineOrders>().highestFencingNumber)
        }

        @Test
        fun `with a stale fencing number are accepted by engines that ignore it`() {
            val client = start(defaults.copy(checkFencing = false))

            assertEquals(listOf(200, 200), listOf(5, 4).map { order(client, it) })
            assertEquals(2, client.send("GET", "/orders").json<EngineOrders>().orders.size)
        }
    }

    @Nested
    inner class Reports {
        @Test
        fun `of the load are delayed by the report lag`() {
            val client = start(defaults.copy(reportLagMilliseconds = 1_000))
            client.occupy("r1")

            assertEquals(0, client.send("GET", "/load").json<EngineLoad>().running)
            awaitTrue { client.send("GET", "/load").json<EngineLoad>().running == 1 }
        }

        @Test
        fun `of cache events are delayed and have gaps`() {
            val client = start(defaults.copy(eventLagMilliseconds = 300, eventGapShare = 0.5))
            repeat(20) { client.chat("$it $longPrompt", tokens = 1) }
            val early = client.send("GET", "/cache-events?after=0").json<CacheEventPage>()

            Thread.sleep(400)
            val all = events(client, 0).map { it.sequence }

            assertTrue(
                early.events.size < all.size,
                "${early.events.size} of ${all.size} were early",
            )
            assertTrue(all.size < 20, "no event was lost: $all")
            assertEquals(true, events(client, 0).all { it.requestId != null })
            assertEquals(all.filter { it > all[2] }, events(client, all[2]).map { it.sequence })
        }

        private fun events(client: TestClient, after: Long): List<CacheEvent> =
            client.send("GET", "/cache-events?after=$after").json<CacheEventPage>().events

        @Test
        fun `of a cached prefix can be imported by another engine`() {
            val source = start()
            val destination = start()
            source.chat(longPrompt)
            val message = """{"role": "user", "content": "$longPrompt"}"""
            val prompt = """{"model": "m", "messages": [$message]}"""

            val export = source.send("POST", "/kv/export", prompt)
            destination.send("POST", "/kv/import", export.body)

            assertEquals(96, export.json<CacheTransfer>().tokens)
            val usage = destination.chat(longPrompt).json<ChatResponse>().usage
            assertEquals(96, usage.promptTokensDetails.cachedTokens)
        }
    }
}
