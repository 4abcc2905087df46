package org.hibiscusproxy.standins.load

import io.javalin.http.Context
import java.util.concurrent.atomic.AtomicInteger
import kotlin.io.path.createTempFile
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.standins.TestClient
import org.hibiscusproxy.standins.anyPort
import org.hibiscusproxy.standins.engine.EngineOptions
import org.hibiscusproxy.standins.engine.EngineServer
import org.hibiscusproxy.standins.faults.DirectionFaults
import org.hibiscusproxy.standins.faults.FaultProxy
import org.hibiscusproxy.standins.faults.ProxyFaults
import org.hibiscusproxy.standins.http.StandInServer
import org.hibiscusproxy.standins.http.respondError
import org.hibiscusproxy.standins.service.ServiceServer
import org.junit.jupiter.api.Nested

/** Guards against a load tool that reports a faulty fleet as clean. */
class LoadRunTest {
    private val resources = ArrayList<AutoCloseable>()
    private val lines = ArrayList<String>()
    private val options = LoadOptions(
        entries = listOf("unused"),
        manualTokens = 200,
        answerTokens = 10,
        rate = 80.0,
        durationSeconds = 0.5,
        timeoutSeconds = 5.0,
    )

    @AfterTest
    fun close() = resources.asReversed().forEach(AutoCloseable::close)

    private fun <T : AutoCloseable> autoClosed(resource: T): T = resource.also { resources += it }

    private fun engine(
        options: EngineOptions = EngineOptions("e", slots = 100, tokenMilliseconds = 5),
    ): NetworkAddress = autoClosed(EngineServer.start(anyPort, options)).address

    private fun run(address: NetworkAddress, change: LoadOptions.() -> LoadOptions = { this }) =
        LoadRun(options.copy(entries = listOf("http://$address")).change(), lines::add).execute()

    /** Starts an entry that passes each request and its number, counted from 0, to [serve]. */
    private fun entry(serve: (Context, Int) -> Unit): NetworkAddress {
        val count = AtomicInteger()
        return autoClosed(
            StandInServer.start(anyPort) { config ->
                config.routes.get("/health") { it.result("ok") }
                config.routes.post("/*") { serve(it, count.getAndIncrement()) }
            },
        ).address
    }

    @Nested
    inner class CleanRun {
        @Test
        fun `reports durations and cache reuse`() {
            val summary = run(engine()) { copy(streamShare = 0.5) }

            assertTrue(summary.isClean, "${summary.examples}")
            assertEquals(OutcomeCounts(ok = summary.started), summary.outcomes)
            assertTrue(summary.cachedShare > 0.4, "cached share ${summary.cachedShare}")
            assertEquals(summary.started, summary.durations.whole.count)
            assertTrue(summary.durations.firstToken.count in 1 until summary.started)
            assertTrue("\"type\":\"second\"" in lines.first(), lines.first())
            assertTrue("\"type\":\"summary\"" in lines.last(), lines.last())
        }

        @Test
        fun `of a burst completes all streams`() {
            val summary = run(engine()) { copy(burst = 50, answerTokens = 60) }

            assertEquals(OutcomeCounts(ok = 50), summary.outcomes)
        }

        @Test
        fun `writes a plot`() {
            val file = createTempFile(suffix = ".svg").toFile()

            run(engine()) { copy(burst = 2, plotFile = file.path) }

            assertTrue("<svg" in file.readText())
            file.delete()
        }
    }

    @Nested
    inner class DirectRun {
        @Test
        fun `counts requests rejected by an engine as not run`() {
            val full = EngineOptions("e", slots = 4, maximumWaiting = 3, tokenMilliseconds = 20)
            val address = engine(full)

            val summary = run(address) {
                copy(isDirect = true, burst = 20, statsUrls = listOf("http://$address"))
            }

            assertEquals(OutcomeCounts(7, notRun = mapOf("overloaded" to 13)), summary.outcomes)
            assertTrue(summary.isClean, "${summary.executions}")
        }
    }

    @Nested
    inner class FaultyRun {
        @Test
        fun `counts interrupted streams as broken without harming the engine`() {
            val engine = engine()
            val proxy = autoClosed(FaultProxy(anyPort, engine))
            proxy.apply(ProxyFaults(backward = DirectionFaults(resetAfterBytes = 2_000)))

            val summary = run(proxy.address)

            assertFalse(summary.isClean)
            assertEquals(OutcomeCounts(broken = summary.started), summary.outcomes)
            assertTrue(run(engine).isClean)
        }

        @Test
        fun `counts answers to another request as wrong`() {
            val other = """{"id":"x","created":1,"model":"m","system_fingerprint":"e","choices":
                [{"message":{"role":"assistant","content":"hello"},"finish_reason":"length"}],
                "usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2,
                "prompt_tokens_details":{"cached_tokens":0}}}"""

            val summary = run(entry { call, _ -> call.result(other) }) { copy(streamShare = 0.0) }

            assertFalse(summary.isClean)
            assertEquals(OutcomeCounts(wrong = summary.started), summary.outcomes)
        }

        @Test
        fun `counts rejections by type and failures without an outcome as lost`() {
            val address = entry { call, number ->
                if (number % 3 <
                    2
                ) {
                    call.header("X-Hibiscus-Outcome", listOf("not-run", "unknown")[number % 3])
                }
                call.respondError(503, "overloaded", "busy")
            }

            val outcomes = run(address).outcomes

            val third = outcomes.notRun.getValue("overloaded")
            assertEquals(setOf("overloaded"), outcomes.unknown.keys)
            assertTrue(third > 5 && outcomes.lost in third - 1..third, "$outcomes")
        }
    }

    @Nested
    inner class Bookings {
        @Test
        fun `that ran twice or despite a rejection are found in the service's execution counts`() {
            val service = autoClosed(ServiceServer.start(anyPort, "s", 0))
            val proxy = TestClient(service.address)
            val address = entry { call, number ->
                val key = mapOf("Idempotency-Key" to call.header("Idempotency-Key").orEmpty())
                val reply = proxy.send("POST", "/bookings", call.body(), key)
                if (number == 0) proxy.send("POST", "/bookings", call.body(), key)
                if (number == 1) {
                    call.header("X-Hibiscus-Outcome", "not-run")
                    call.respondError(503, "overloaded", "busy")
                } else {
                    call.result(reply.body)
                }
            }

            val summary = run(address) {
                copy(bookingShare = 1.0, statsUrls = listOf("http://${service.address}"))
            }

            assertEquals(1, summary.executions?.bookingsRunMoreThanOnce?.size)
            assertEquals(1, summary.executions?.runDespiteNotRun?.size)
            assertEquals(emptyList(), summary.executions?.completeWithoutExecution)
            assertFalse(summary.isClean)
        }
    }
}
