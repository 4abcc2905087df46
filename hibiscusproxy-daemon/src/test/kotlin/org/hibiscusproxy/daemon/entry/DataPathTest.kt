package org.hibiscusproxy.daemon.entry

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import org.hibiscusproxy.daemon.testing.FakeTarget
import org.hibiscusproxy.daemon.testing.TestFleet
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.BOOKING
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.streamOf
import org.junit.jupiter.api.Nested

class DataPathTest {
    private val fleet = TestFleet()
    private val engine = FakeTarget()
    private val desk = FakeTarget()

    @AfterTest
    fun close() = listOf(fleet, engine, desk).forEach { it.close() }

    private fun start() = fleet.start(
        fleet.sidecar("engine", engine.url),
        fleet.sidecar("desk", desk.url, BOOKING),
    )

    @Nested
    inner class Answers {
        @Test
        fun `a chat with the target's stream`() {
            val answer = start().send(fleet.chat("how to open the lid"))
            assertEquals(200, answer.statusCode())
            assertEquals(streamOf("how to open the lid", 3), answer.body())
        }

        @Test
        fun `a booking once and its resend with the stored answer`() {
            start()
            repeat(2) {
                val answer = fleet.send(fleet.booking("key-1", "slot 7"))
                assertEquals(200 to "slot 7", answer.statusCode() to answer.body())
            }
            assertEquals(listOf("slot 7"), desk.callsOf("/slots?day=2").map { it.body })
        }
    }
}
