package org.hibiscusproxy.daemon.forwarding

import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import kotlin.time.TimeSource
import org.hibiscusproxy.forwarding.RequestKind
import org.hibiscusproxy.model.ServiceName
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested

/** Guards against arrivals at a target that wants none, and at more targets than a route allows. */
class TargetLimitsTest {
    private val closed = ArrayList<AutoCloseable>()
    private val orders = ServiceName("orders")

    @AfterEach
    fun close() = closed.forEach { it.close() }

    private fun fixture(time: TimeSource.WithComparableMarks = TimeSource.Monotonic) =
        ForwarderFixture(retrySlack = 1_000.0, time).also { closed += it }

    private fun target(answer: (ReceivedRequest, Socket) -> Unit) =
        RecordingTarget(answer).also { closed += it }

    /** Requests that arrive between half a second after the refusal and the end of its time. */
    private fun arrivalsInPause(keepsConnections: Boolean): Int {
        val fixture = fixture()
        val refusedAt = CopyOnWriteArrayList<ComparableTimeMark>()
        val served = AtomicInteger()
        val target = target { request, socket ->
            when {
                served.incrementAndGet() != REFUSED_REQUEST -> {
                    Thread.sleep(20)
                    val extra = if (keepsConnections) "" else "Connection: close\r\n"
                    socket.respond(request, extra = extra)
                }

                else -> {
                    refusedAt += TimeSource.Monotonic.markNow()
                    socket.respond(request, 503, "X-Not-Executed: 1\r\nRetry-After: 2\r\n")
                }
            }
        }
        fixture.route(RequestKind.SAFE, mapOf(orders to listOf(target.address)))
        val startedAt = TimeSource.Monotonic.markNow()
        List(CALLERS) { caller ->
            thread {
                var number = 0
                while (startedAt.elapsedNow() < 3.seconds) {
                    fixture.exchange("$caller-${number++}")
                    Thread.sleep(10)
                }
            }
        }.forEach { it.join() }
        val refusal = refusedAt.single()
        val after = target.requests.filter { it.arrivedAt >= refusal + 2.seconds }
        assertTrue(after.isNotEmpty(), "no request arrived after the pause")
        return target.requests.count {
            it.arrivedAt > refusal + 500.milliseconds && it.arrivedAt < refusal + 2.seconds
        }
    }

    @Nested
    inner class `A target that wants no requests for a time` {
        @Test
        fun `gets none on kept connections`() = assertEquals(0, arrivalsInPause(true))

        @Test
        fun `gets none on connections that are opened meanwhile`() =
            assertEquals(0, arrivalsInPause(false))
    }

    /** Most targets that ran one request, where each refuses some and breaks off the others. */
    private fun mostRuns(kind: RequestKind, maximumTargets: Int): Int {
        val time = TestTimeSource()
        val fixture = fixture(time)
        val runs = CopyOnWriteArrayList<String>()
        val targets = List(5) { index ->
            target { request, socket ->
                when {
                    (request.identifier.hashCode() + index) % 3 == 0 ->
                        socket.respond(request, 503, "X-Not-Executed: 1\r\n")

                    index == 4 -> {
                        runs += request.identifier
                        socket.respond(request, 500)
                    }

                    else -> {
                        runs += request.identifier
                        socket.close()
                    }
                }
            }
        }
        fixture.route(
            kind,
            mapOf(orders to targets.map { it.address }),
            maximumTargets = maximumTargets,
        )
        repeat(60) {
            fixture.pass(time, 10.seconds)
            fixture.exchange("$kind-$maximumTargets-$it")
        }
        return runs.groupingBy { it }.eachCount().values.max()
    }

    @Nested
    inner class `A request runs at no more targets than its route allows` {
        @Test
        fun `if it is safe`() =
            assertEquals(listOf(1, 2, 3), listOf(1, 2, 3).map { mostRuns(RequestKind.SAFE, it) })

        @Test
        fun `if it is not`() =
            assertEquals(listOf(1, 1), listOf(1, 3).map { mostRuns(RequestKind.UNSAFE, it) })
    }

    private companion object {
        const val CALLERS = 16
        const val REFUSED_REQUEST = 100
    }
}
