package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Refusal
import org.hibiscusproxy.protocol.RefusalList
import org.junit.jupiter.api.Nested

class RefusedRequestsTest {
    private val time = TestTimeSource()
    private val cause = setOf(Fingerprint(1))

    private fun refused(seed: Int) = RefusedRequests(time, Random(seed))

    private fun list(remaining: Duration) =
        RefusalList(listOf(Refusal(cause, remaining.inWholeMilliseconds)))

    private fun RefusedRequests.end() = assertNotNull(remaining(cause))

    @Nested
    inner class Refusals {
        @Test
        fun `last at least as long as announced`() = repeat(100) { seed ->
            val end = refused(seed).apply { add(list(5.seconds)) }.end()
            assertTrue(end in 5.seconds..10.seconds, "$end")
        }

        @Test
        fun `end at different times at different forwarders`() {
            val ends = List(8) { seed ->
                refused(seed).apply { add(list(5.seconds)) }.end()
            }.sorted()
            assertEquals(8, ends.toSet().size)
            assertTrue(ends.last() - ends.first() > 1.seconds, "$ends")
        }

        @Test
        fun `keep their end when they are announced again`() {
            val refused = refused(seed = 1).apply { add(list(5.seconds)) }
            val end = refused.end()
            repeat(4) {
                time += 1.seconds
                refused.add(list((4 - it).seconds))
            }
            assertEquals(end - 4.seconds, refused.end())
        }

        @Test
        fun `end later when a longer one is announced`() {
            val refused = refused(seed = 1).apply { add(list(5.seconds)) }
            time += 2.seconds
            refused.add(list(10.seconds))
            assertTrue(refused.end() >= 10.seconds)
        }

        @Test
        fun `end by themselves`() {
            val refused = refused(seed = 1).apply { add(list(500.milliseconds)) }
            time += 6.seconds
            assertEquals(null, refused.remaining(cause))
        }
    }
}
