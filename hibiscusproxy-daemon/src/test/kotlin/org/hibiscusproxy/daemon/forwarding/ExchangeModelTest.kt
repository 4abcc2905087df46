package org.hibiscusproxy.daemon.forwarding

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.forwarding.RequestKind
import org.hibiscusproxy.forwarding.ServiceVersion
import org.hibiscusproxy.protocol.StreamAnswer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.slf4j.LoggerFactory

/**
 * Requests in random orders of everything that can happen to them: targets that are lost and come
 * back, routing that comes late, connections that fail, targets that answer, refuse or break off,
 * callers that leave, and a shutdown. After each step no request may have two final answers, run
 * after a promise that it does not, or cause bytes on a connection that waits for none.
 */
class ExchangeModelTest {
    private val faults = ListAppender<ILoggingEvent>()
    private val log = LoggerFactory.getLogger("org.hibiscusproxy.daemon.forwarding") as Logger

    @BeforeEach
    fun listen() {
        faults.start()
        log.level = Level.ERROR
        log.addAppender(faults)
    }

    @AfterEach
    fun stopListening() {
        log.detachAppender(faults)
        log.level = null
    }

    /** A request as its caller and the targets have seen it. */
    private class Request(val identifier: String) {
        var head: AnswerPart.Head? = null
        var isAnswered = false

        /** Number of targets that received it and have not stated that they did not run it. */
        var possibleRuns = 0
    }

    private class Caller(val connection: SimulatedCaller) {
        var pending: Request? = null
    }

    /** What a target does with a request that it received. */
    private class Run(val connection: SimulatedConnection, val request: Request) {
        var events = 0
    }

    private inner class Model(seed: Int) {
        private val random = Random(seed)
        private val forwarder = SimulatedForwarder(Random(seed))
        private val callers = ArrayList<Caller>()
        private val requests = LinkedHashMap<String, Request>()
        private val runs = ArrayList<Run>()
        private var isShuttingDown = false

        fun step() {
            when (random.nextInt(100)) {
                in 0..24 -> send()
                in 25..34 -> forwarder.listTargets(listOf(0, 1, 2, 2).random(random))
                in 35..36 -> forwarder.publishRouting()
                in 37..54 -> forwarder.connecting.randomOrNull(random)?.let(::connect)
                in 55..79 -> runs.randomOrNull(random)?.let(::answer)
                in 80..83 -> callers.randomOrNull(random)?.let(::leave)
                in 84..88 -> forwarder.queries.randomOrNull(random)?.let {
                    forwarder.queries -= it
                    val origin = ServiceVersion(
                        SimulatedForwarder.SERVICE,
                        SimulatedForwarder.VERSION,
                    ).takeIf { random.nextBoolean() }
                    forwarder.node.lookup.receive(StreamAnswer(it.number, origin))
                }
                in 89..96 -> forwarder.elapse(random.nextInt(1, 40).milliseconds)
                in 97..98 -> forwarder.elapse(random.nextInt(40, 1_500).milliseconds)
                else -> if (random.nextInt(20) == 0) shutDown()
            }
            if (random.nextBoolean()) forwarder.turn()
            check()
        }

        private fun send() {
            val free = callers.filter { it.pending == null && it.connection.isOpen }
            val reused = free.randomOrNull(random).takeIf { random.nextBoolean() }
            if (reused == null && isShuttingDown) return
            val caller = reused ?: Caller(forwarder.connectCaller()).also(callers::add)
            val request = Request("r-${requests.size}")
            requests[request.identifier] = request
            caller.pending = request
            val kind = RequestKind.entries.random(random)
            val isTakeUp = kind == RequestKind.STREAMING && random.nextBoolean()
            val deadline = listOf(200, 1_500, 6_000).random(random).milliseconds
            val extra = if (isTakeUp) "Last-Event-Id: 7\r\n" else ""
            caller.connection.send(request.identifier, kind, deadline, extra)
        }

        private fun connect(connection: SimulatedConnection) {
            if (random.nextInt(5) == 0) {
                forwarder.refuse(connection)
            } else {
                forwarder.establish(connection)
            }
        }

        private fun answer(run: Run) {
            val own = run.request.identifier
            val head = "X-Request-Id: $own\r\nContent-Type: text/event-stream\r\n"
            val chunked = "Transfer-Encoding: chunked\r\n\r\n"
            when (random.nextInt(10)) {
                0 -> end(run) { it.close() }
                1 -> end(run) {
                    if (run.events > 0) return@end it.close()
                    run.request.possibleRuns -= 1
                    it.write("HTTP/1.1 503 No\r\n${head}X-Not-Executed: 1\r\n$EMPTY")
                }
                2 -> end(run) {
                    if (run.events > 0) return@end it.close()
                    it.write("HTTP/1.1 500 No\r\n$head$EMPTY")
                }
                3, 4 -> end(run) {
                    if (run.events == 0) it.write("HTTP/1.1 200 OK\r\n$head$chunked")
                    it.write("0\r\n\r\n")
                }
                else -> {
                    if (run.events == 0) run.connection.write("HTTP/1.1 200 OK\r\n$head$chunked")
                    run.events += 1
                    val event = "id: ${run.events}\ndata: $own\n\n"
                    run.connection.write("${event.length.toString(16)}\r\n$event\r\n")
                }
            }
        }

        private fun end(run: Run, write: (SimulatedConnection) -> Unit) {
            runs -= run
            write(run.connection)
        }

        private fun leave(caller: Caller) {
            caller.connection.close()
            callers -= caller
            caller.pending?.isAnswered = true
        }

        private fun shutDown() {
            isShuttingDown = true
            val now = forwarder.node.time.markNow()
            forwarder.node.shutdown = ShutdownSchedule(now, 1.seconds, 2.seconds)
            forwarder.node.admission.connections.toList().forEach { it.endRequest() }
        }

        /** Checks what the targets and the callers have received since the last check. */
        private fun check() {
            forwarder.established.forEach { connection ->
                connection.takeRequests().forEach { receive(connection, it) }
            }
            callers.toList().forEach { caller ->
                caller.connection.takeParts().forEach { read(caller, it) }
                if (!caller.connection.isOpen) leave(caller)
            }
            assertTrue(forwarder.node.activeExchanges >= 0, "negative number of requests")
            assertEquals(emptyList(), faults.list.map { "$it ${it.throwableProxy?.message}" })
        }

        private fun receive(connection: SimulatedConnection, identifier: String) {
            val request = requests.getValue(identifier)
            assertTrue(!request.isAnswered, "$identifier was sent after its end")
            request.possibleRuns += 1
            runs.removeAll { it.connection === connection }
            runs += Run(connection, request)
        }

        private fun read(caller: Caller, part: AnswerPart) {
            val request = caller.pending
            checkNotNull(request) { "$part came with no request waiting" }
            when (part) {
                is AnswerPart.Head -> {
                    assertEquals(null, request.head, "${request.identifier} got $part too")
                    request.head = part
                    assertTrue(
                        part.outcome != "not-run" || request.possibleRuns == 0,
                        "${request.identifier} was received and is answered with $part",
                    )
                }

                is AnswerPart.Content -> assertTrue(
                    "data" !in part.text || part.text.lines()
                        .filter { it.startsWith("data") }
                        .all { it == "data: ${request.identifier}" },
                    "${request.identifier} got ${part.text}",
                )

                is AnswerPart.End -> {
                    request.isAnswered = true
                    caller.pending = null
                }
            }
        }

        /** Returns how many requests ended with each outcome. */
        fun finish(): Map<String, Long> {
            forwarder.elapse(10.seconds)
            check()
            val open = requests.values.filter { !it.isAnswered }.map { it.identifier }
            assertEquals(emptyList(), open, "requests without an answer")
            assertEquals(0, forwarder.node.activeExchanges, "requests in progress at the end")
            val ends = forwarder.registry.find("forwarder.requests").timers()
                .associate { it.id.getTag("outcome").orEmpty() to it.count() }
            assertEquals(requests.size.toLong(), ends.values.sum(), "ends of requests")
            return ends
        }
    }

    @Nested
    inner class Requests {
        @Test
        fun `have one true answer each`() {
            val ends = HashMap<String, Long>()
            repeat(SEEDS) { seed ->
                val model = Model(seed)
                try {
                    repeat(STEPS) { model.step() }
                    model.finish().forEach { (outcome, count) ->
                        ends.merge(outcome, count, Long::plus)
                    }
                } catch (failure: Throwable) {
                    throw AssertionError("seed $seed: ${failure.message}", failure)
                }
            }
            println("ends of requests: $ends")
            assertEquals(OUTCOMES, ends.keys, "not all outcomes were reached: $ends")
        }
    }

    private companion object {
        val OUTCOMES = setOf("answered", "caller-left", "broken-off", "refused", "failed")
        const val SEEDS = 20
        const val STEPS = 2_000
        const val EMPTY = "Content-Length: 0\r\n\r\n"
    }
}
