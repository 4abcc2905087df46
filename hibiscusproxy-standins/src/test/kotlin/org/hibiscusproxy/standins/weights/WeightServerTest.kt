package org.hibiscusproxy.standins.weights

import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.hibiscusproxy.standins.TestClient
import org.hibiscusproxy.standins.anyPort
import org.junit.jupiter.api.Nested

/** Guards against a store that grants the full bandwidth to each download. */
class WeightServerTest {
    @Nested
    inner class Bandwidth {
        @Test
        fun `is shared by all downloads`() {
            WeightServer.start(anyPort, bytesPerSecond = 400_000, modelBytes = 100_000).use {
                val client = TestClient(it.address)
                val start = System.nanoTime()

                val downloads = (1..2).map { number ->
                    thread { client.send("GET", "/weights/m$number") }
                }
                downloads.forEach(Thread::join)

                val milliseconds = (System.nanoTime() - start) / 1_000_000
                val stats = client.send("GET", "/stats").json<WeightStats>()
                assertTrue(milliseconds >= 400, "200 kB took $milliseconds ms at 400 kB/s")
                assertEquals(setOf("m1", "m2"), stats.completedModels.toSet())
                assertEquals(200_000, stats.bytesSent)
                assertEquals(0, stats.readers)
            }
        }
    }
}
