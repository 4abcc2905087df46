package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.model.ServiceName
import org.junit.jupiter.api.Nested

class HedgingPolicyTest {
    private val service = ServiceName("archive")
    private val policy = HedgingPolicy(share = 0.05)

    private fun recordLatencies(count: Int, route: String = "read") = repeat(count) { number ->
        val isSlow = number % 10 == 0
        policy.recordFirstPart(route, if (isSlow) 400.milliseconds else 20.milliseconds)
    }

    @Nested
    inner class `The limit` {
        @Test
        fun `keeps second attempts below the share of the requests`() {
            var sent = 0
            repeat(2_000) {
                policy.recordRequest(service)
                if (policy.tryTake(service)) sent += 1
            }
            assertTrue(sent in 90..100, "$sent of 2000 requests")
        }

        @Test
        fun `does not save attempts for a burst of slow answers`() {
            repeat(2_000) { policy.recordRequest(service) }
            assertEquals(3, (1..100).count { policy.tryTake(service) })
        }

        @Test
        fun `of zero allows none`() {
            val off = HedgingPolicy(share = 0.0)
            repeat(100) {
                off.recordRequest(service)
                off.recordFirstPart("read", 20.milliseconds)
            }
            assertNull(off.delay("read"))
            assertFalse(off.tryTake(service))
        }
    }

    @Nested
    inner class `The delay` {
        @Test
        fun `is unknown while there are few answers`() {
            recordLatencies(10)
            assertNull(policy.delay("read"))
        }

        @Test
        fun `lets most answers arrive before`() {
            val random = Random(1)
            val latencies = List(2_000) { (10 + random.nextInt(90)).milliseconds }
            latencies.forEach { policy.recordFirstPart("read", it) }
            val delay = assertNotNull(policy.delay("read"))
            val later = latencies.count { it > delay }
            assertTrue(later <= latencies.size * 0.06, "$later answers after $delay")
        }

        @Test
        fun `follows latencies that rise`() {
            repeat(1_000) { policy.recordFirstPart("read", 20.milliseconds) }
            repeat(1_000) { policy.recordFirstPart("read", 200.milliseconds) }
            assertTrue(assertNotNull(policy.delay("read")) >= 200.milliseconds)
        }

        @Test
        fun `differs by route`() {
            recordLatencies(100, "read")
            assertNull(policy.delay("summary"))
        }
    }
}
