package org.hibiscusproxy.standins.service

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.hibiscusproxy.standins.TestClient
import org.hibiscusproxy.standins.answers.sha256
import org.hibiscusproxy.standins.anyPort
import org.junit.jupiter.api.Nested

/** Guards against a service that hides duplicate executions of a booking. */
class ServiceServerTest {
    private val server = ServiceServer.start(anyPort, "s", delayMilliseconds = 0)
    private val client = TestClient(server.address)

    @AfterTest
    fun close() = server.close()

    @Nested
    inner class Bookings {
        @Test
        fun `are counted per idempotency key and echo the request`() {
            val key = mapOf("Idempotency-Key" to "k1")

            client.send("POST", "/a/b", "scanner", key)
            val second = client.send("POST", "/a/b", "scanner", key).json<ServiceAnswer>()
            client.send("GET", "/a/b", headers = key)

            val expected =
                ServiceAnswer("s", "POST", "/a/b", "k1", 2, "scanner".encodeToByteArray().sha256())
            assertEquals(expected, second)
            assertEquals(
                ServiceStats("s", 0, 3, 2, 0, mapOf("k1" to 2)),
                client.send("GET", "/stats").json(),
            )
        }

        @Test
        fun `take the time requested by the delay header`() {
            val start = System.nanoTime()

            client.send("POST", "/", "", mapOf("X-Delay-Milliseconds" to "200"))

            val milliseconds = (System.nanoTime() - start) / 1_000_000
            assertTrue(milliseconds >= 200, "took $milliseconds ms")
        }
    }
}
