package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.test.fail
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

    @Nested
    inner class Trials {
        private val refused = refused(seed = 1)

        private fun announce(remaining: Duration, trial: Duration) = refused.add(
            RefusalList(
                listOf(Refusal(cause, remaining.inWholeMilliseconds, trial.inWholeMilliseconds)),
            ),
        )

        private fun beginTrial() {
            announce(5.seconds, 60.seconds)
            time += 11.seconds
        }

        /** Lets such a request come every second until one is let through. */
        private fun awaitAdmission() {
            repeat(30) {
                if (refused.admit(cause) == null) return
                time += 1.seconds
            }
            fail("no request was let through")
        }

        @Test
        fun `let one request through at a time`() {
            beginTrial()
            repeat(3) {
                awaitAdmission()
                assertEquals(1.seconds, refused.admit(cause))
                assertEquals(null, refused.admit(setOf(Fingerprint(2))))
                time += 1.seconds
            }
        }

        @Test
        fun `let few of the requests through that come at all forwarders at once`() {
            val forwarders = List(100) { refused(seed = it) }
            val trial = RefusalList(listOf(Refusal(cause, 0, 60_000)))
            forwarders.forEach { it.add(trial) }
            time += 6.seconds
            val admitted = forwarders.count { it.admit(cause) == null }
            assertTrue(admitted in 10..40, "$admitted of 100")
        }

        @Test
        fun `let all requests through after one was answered well`() {
            beginTrial()
            refused.recordSurvivedAnswer(cause + Fingerprint(2))
            repeat(3) { assertEquals(null, refused.admit(cause)) }
        }

        @Test
        fun `end when the refusal is lifted`() {
            announce(5.seconds, 60.seconds)
            announce(Duration.ZERO, Duration.ZERO)
            repeat(3) { assertEquals(null, refused.admit(cause)) }
        }

        @Test
        fun `begin no other refusal when they are announced again`() {
            beginTrial()
            announce(Duration.ZERO, 54.seconds)
            assertEquals(null, refused.remaining(cause))
        }

        @Test
        fun `end with the next refusal`() {
            beginTrial()
            announce(10.seconds, 60.seconds)
            assertTrue(assertNotNull(refused.admit(cause)) >= 10.seconds)
        }

        @Test
        fun `do not lift the refusal of a found cause`() {
            announce(600.seconds, Duration.ZERO)
            announce(Duration.ZERO, Duration.ZERO)
            assertNotNull(refused.admit(cause))
        }
    }
}
