package org.hibiscusproxy.daemon.sidecar

import com.github.michaelbull.result.unwrap
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.hibiscusproxy.daemon.testing.FakeController
import org.hibiscusproxy.daemon.testing.RepeatingTarget
import org.hibiscusproxy.daemon.testing.TestFleet
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.BOOKING
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.awaitUntil
import org.hibiscusproxy.daemon.transport.KtorPeerTransport
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.Dispatch
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.RequestIdentifier
import org.hibiscusproxy.protocol.ResponseBroken
import org.hibiscusproxy.protocol.ResponseChunk
import org.hibiscusproxy.protocol.ResponseEnd
import org.junit.jupiter.api.Nested

/** Targets whose second answer to a call arrives where the next call's answer is expected. */
class LateSecondAnswerTest {
    private val target = RepeatingTarget()

    @AfterTest
    fun closeTarget() = target.close()

    @Nested
    inner class `A repeatable call gets its own answer` {
        private val fleet = TestFleet()
        private val transport = KtorPeerTransport(
            Hello(ProcessName("test"), TestFleet.NORTH, Incarnation(1)),
            FakeController.KEY,
            SimpleMeterRegistry(),
        )

        @AfterTest
        fun close() = listOf(transport, fleet).forEach { it.close() }

        private fun bodies(percentWhileIdle: Int): List<String> {
            val sidecar = fleet.sidecar("desk", target.url, BOOKING, 2)
            fleet.publish()
            awaitUntil { sidecar.isReady }
            return runBlocking {
                val connection = transport.connect(sidecar.address).unwrap()
                val first = connection.call(1)
                target.repeatWhileIdle(percentWhileIdle)
                listOf(first, connection.call(2))
            }
        }

        private suspend fun PeerConnection.call(number: Int): String {
            send(dispatch(number, remote.incarnation))
            val body = StringBuilder()
            withTimeout(5.seconds) {
                var message: PeerMessage
                do {
                    message = incoming.receive()
                    if (message is ResponseChunk) body.append(message.body.bytes.decodeToString())
                } while (message !is ResponseEnd && message !is ResponseBroken)
            }
            return body.toString()
        }

        private fun dispatch(number: Int, incarnation: Incarnation) = Dispatch(
            Attempt(RequestIdentifier("r$number"), 1),
            incarnation,
            TeamName("repair"),
            BOOKING,
            Priority.NORMAL,
            remainingMilliseconds = 5_000,
            repeatable = true,
            Fingerprint(number.toLong()),
            "GET",
            "/slots/$number",
            emptyList(),
            Payload.of(""),
        )

        @Test
        fun `if the copy arrives after its request`() =
            assertEquals(listOf("/slots/1", "/slots/2"), bodies(percentWhileIdle = 0))

        @Test
        fun `if half of the copy arrives before its request`() =
            assertEquals(listOf("/slots/1", "/slots/2"), bodies(percentWhileIdle = 50))

        @Test
        fun `if the copy arrives before its request`() =
            assertEquals(listOf("/slots/1", "/slots/2"), bodies(percentWhileIdle = 100))
    }

    @Nested
    inner class `A call without an attempt` {
        private fun client(target: RepeatingTarget) =
            TargetClient(TargetName("desk"), target.url, confirm = { null }, firstByte = {})

        private fun bodies(percentWhileIdle: Int): List<String?> = client(target).use { client ->
            val first = client.fetch("GET", "/state/1", 5.seconds)
            target.repeatWhileIdle(percentWhileIdle)
            listOf(first, client.fetch("GET", "/state/2", 5.seconds))
        }

        @Test
        fun `gets its own answer if the copy arrives after its request`() =
            assertEquals(listOf<String?>("/state/1", "/state/2"), bodies(percentWhileIdle = 0))

        @Test
        fun `gets its own answer if half of the copy arrives before its request`() =
            assertEquals(listOf<String?>("/state/1", "/state/2"), bodies(percentWhileIdle = 50))

        @Test
        fun `gets its own answer if the copy arrives before its request`() =
            assertEquals(listOf<String?>("/state/1", "/state/2"), bodies(percentWhileIdle = 100))

        @Test
        fun `leaves no connection open, also if bytes follow its answer`() {
            listOf(target, RepeatingTarget(repeatsAtOnce = true)).forEach { target ->
                target.use {
                    client(target).use { client ->
                        assertEquals("/state/1", client.fetch("GET", "/state/1", 5.seconds))
                        awaitUntil(2.seconds) { target.openConnections == 0 }
                    }
                }
            }
        }
    }
}
