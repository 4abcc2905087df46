package org.hibiscusproxy.standins.platform

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import org.hibiscusproxy.standins.TestClient
import org.hibiscusproxy.standins.anyPort
import org.junit.jupiter.api.Nested

/** Guards against a platform that ignores the lag of its instance list. */
class InstanceHistoryTest {
    private val live = listOf(PlatformInstance("i1", "dc1", InstanceState.LIVE))
    private val leaving = listOf(PlatformInstance("i1", "dc1", InstanceState.LEAVING))

    @Nested
    inner class Lag {
        @Test
        fun `is chosen per read`() {
            var now = 0L
            val history = InstanceHistory(lagMilliseconds = 1_000) { now }
            history.set(live)
            now = 2_000_000_000L
            history.set(leaving)
            now = 2_500_000_000L

            assertEquals(InstanceList(1, live), history.read(lag = null))
            assertEquals(InstanceList(2, leaving), history.read(lag = 400))
            assertEquals(InstanceList(0, emptyList()), history.read(lag = 10_000))
        }

        @Test
        fun `is read from the query parameter`() {
            PlatformServer.start(anyPort, lagMilliseconds = 60_000).use { server ->
                val client = TestClient(server.address)
                val body = """{"instances":[{"name":"i1","dataCenter":"dc1","state":"leaving"}]}"""
                client.send("POST", "/instances", body)

                val early = client.send("GET", "/instances?lag-milliseconds=0").body
                val late = client.send("GET", "/instances").body

                assertEquals("""{"version":1,${body.drop(1)}""", early)
                assertEquals("""{"version":0,"instances":[]}""", late)
            }
        }
    }

    @Nested
    inner class Setting {
        @Test
        fun `rejects duplicate instances`() {
            val failure = assertFailsWith<IllegalArgumentException> {
                InstanceHistory(0) { 0 }.set(live + leaving)
            }

            assertEquals("instances are listed more than once: [i1]", failure.message)
        }
    }
}
