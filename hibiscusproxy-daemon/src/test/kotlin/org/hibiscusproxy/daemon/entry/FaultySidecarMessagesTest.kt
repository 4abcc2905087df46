package org.hibiscusproxy.daemon.entry

import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.hibiscusproxy.daemon.testing.FakeSidecar
import org.hibiscusproxy.daemon.testing.TestFleet
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.CHAT
import org.hibiscusproxy.daemon.testing.chunkOf
import org.hibiscusproxy.daemon.testing.endOf
import org.hibiscusproxy.daemon.testing.headOf
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.BrokenReason
import org.hibiscusproxy.protocol.Cancel
import org.hibiscusproxy.protocol.Dispatch
import org.hibiscusproxy.protocol.LoadReport
import org.hibiscusproxy.protocol.NotRun
import org.hibiscusproxy.protocol.NotRunReason
import org.hibiscusproxy.protocol.RequestIdentifier
import org.hibiscusproxy.protocol.ResponseBroken
import org.junit.jupiter.api.Nested

/** The entry with a sidecar whose messages are late, misdirected, repeated or missing. */
class FaultySidecarMessagesTest {
    private val fleet = TestFleet(deadlineMilliseconds = 1_500)
    private var sidecar: FakeSidecar? = null

    @AfterTest
    fun close() {
        fleet.close()
        sidecar?.close()
    }

    private fun start(answer: suspend PeerConnection.(Dispatch) -> Unit): FakeSidecar {
        val started = FakeSidecar("engine", answer).also { sidecar = it }
        fleet.addTarget("engine", started.address, CHAT)
        fleet.start()
        return started
    }

    private suspend fun PeerConnection.answer(attempt: Attempt, text: String) {
        send(headOf(attempt))
        send(chunkOf(attempt, 0, text))
        send(endOf(attempt, 1))
    }

    private fun dropped(): Double =
        fleet.entryMeters.get("hibiscus.entry.dropped").counter().count()

    @Nested
    inner class AreDropped {
        @Test
        fun `when they come late, after the attempt was refused`() {
            start { dispatch ->
                val first = dispatch.attempt.copy(number = 1)
                if (dispatch.attempt.number == 1) {
                    send(NotRun(first, NotRunReason.QUEUE_TIMEOUT, LoadReport()))
                } else {
                    answer(first, "late")
                    answer(dispatch.attempt, "right")
                }
            }
            assertEquals("right", fleet.send(fleet.chat("a")).body())
            assertEquals(3.0, dropped())
        }

        @Test
        fun `when they are for nobody, or repeated`() {
            start { dispatch ->
                answer(Attempt(RequestIdentifier("nobody"), 1), "wrong")
                send(headOf(dispatch.attempt))
                repeat(3) { send(chunkOf(dispatch.attempt, 0, "once")) }
                send(endOf(dispatch.attempt, 1))
                answer(dispatch.attempt, "again")
            }
            assertEquals("once", fleet.send(fleet.chat("a")).body())
            TestFleet.awaitUntil { dropped() == 8.0 }
        }

        @Test
        fun `or reach their own callers when they come in another order`() {
            val waiting = ConcurrentLinkedQueue<Dispatch>()
            start { dispatch ->
                waiting += dispatch
                if (waiting.size == 2) {
                    waiting.toList().asReversed().forEach {
                        answer(it.attempt, it.body.bytes.decodeToString())
                    }
                }
            }
            val answers = listOf("first", "second").map { it to fleet.sendAsync(fleet.chat(it)) }
            for ((prompt, answer) in answers) {
                assertEquals(TestFleet.chatBody(prompt), answer.get().body())
            }
        }
    }

    @Nested
    inner class Break {
        /** Guards against reporting "not run" after an earlier attempt may have run. */
        @Test
        fun `the request as unknown when a refusal follows a lost target`() {
            start { dispatch ->
                val isFirst = dispatch.attempt.number == 1
                val reason = BrokenReason.TARGET_LOST.takeIf { isFirst }
                send(
                    reason?.let { ResponseBroken(dispatch.attempt, it, LoadReport()) }
                        ?: NotRun(dispatch.attempt, NotRunReason.CRASHES_TARGETS, LoadReport()),
                )
            }
            val answer = fleet.send(fleet.chat("a"))
            assertEquals("unknown", answer.headers().firstValue("X-Hibiscus-Outcome").get())
        }

        /** Guards against retries of one request that crash several targets. */
        @Test
        fun `the request after the second lost target`() {
            val sidecar = start { dispatch ->
                send(
                    ResponseBroken(dispatch.attempt, BrokenReason.TARGET_LOST, LoadReport()),
                )
            }
            assertEquals(502, fleet.send(fleet.chat("a")).statusCode())
            assertTrue(sidecar.received.count { it is Dispatch } <= 2)
        }

        @Test
        fun `the answer when a chunk is missing`() {
            start { dispatch ->
                send(headOf(dispatch.attempt))
                send(chunkOf(dispatch.attempt, 0, "data: a\n\n"))
                send(chunkOf(dispatch.attempt, 2, "data: [DONE]\n\n"))
                send(endOf(dispatch.attempt, 3))
            }
            val body = fleet.send(fleet.chat("a")).body()
            assertTrue(body.startsWith("data: a\n\nevent: error\n"), body)
        }

        /** Guards against callers and targets that wait indefinitely for a silent sidecar. */
        @Test
        fun `the request at its deadline and cancel its work`() {
            val sidecar = start { }
            val answer = fleet.send(fleet.chat("a"))
            assertEquals(504, answer.statusCode())
            assertEquals("unknown", answer.headers().firstValue("X-Hibiscus-Outcome").get())
            TestFleet.awaitUntil { sidecar.received.any { it is Cancel } }
        }
    }
}
