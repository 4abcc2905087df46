package org.hibiscusproxy.rollout

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.hibiscusproxy.rollout.RolloutPhase.EXPANDING
import org.hibiscusproxy.rollout.RolloutPhase.MOVING
import org.hibiscusproxy.rollout.RolloutPhase.ROLLED_BACK
import org.hibiscusproxy.rollout.RolloutPhase.TRIAL
import org.junit.jupiter.api.Nested

/** Guards against a version under trial that gets more than its share, or nothing. */
class ExposureLimiterTest {
    private val limits = ExposureLimits(share = 0.1, slack = 50.0)

    private fun ExposureLimiter.permits(
        phase: RolloutPhase,
        isRetry: Boolean = false,
        isBound: Boolean = false,
    ) = permits(phase, isRetry, isBound, FORWARDERS)

    /** Sends [requests] new requests to the version whenever that is permitted. */
    private fun ExposureLimiter.sent(requests: Int, phase: RolloutPhase): Int =
        (1..requests).count { permits(phase).also { record(phase, false, it) } }

    @Nested
    inner class NewRequests {
        @Test
        fun `get the share of the phase`() {
            val limiter = ExposureLimiter(limits, draw = 0.0)
            assertEquals(59, limiter.sent(999, TRIAL))
            assertTrue(limiter.sent(100, EXPANDING) in 50..51)
        }

        @Test
        fun `are spread evenly over processes that see few requests`() {
            val random = Random(1)
            val sum = (1..1_000).sumOf {
                ExposureLimiter(limits, random.nextDouble()).sent(5, TRIAL)
            }
            assertTrue(sum in 250..350, "$sum of 5,000 with seed 1")
        }

        @Test
        fun `do not come in a burst after a time without targets`() {
            val limiter = ExposureLimiter(limits, draw = 0.5)
            repeat(1_000) { limiter.record(TRIAL, isRetry = false, isExposed = false) }
            assertEquals(3, limiter.sent(10, TRIAL))
        }

        @Test
        fun `get no credit without slack`() {
            val limiter = ExposureLimiter(limits.copy(slack = 0.0), draw = 0.99)
            assertEquals(0, limiter.sent(16, TRIAL))
            assertEquals(1, limiter.sent(1, TRIAL))
        }
    }

    @Nested
    inner class Retries {
        @Test
        fun `use the share and earn nothing`() {
            val limiter = ExposureLimiter(limits, draw = 0.0)
            repeat(17) { limiter.record(TRIAL, isRetry = false, isExposed = false) }
            assertTrue(limiter.permits(TRIAL, isRetry = true))
            limiter.record(TRIAL, isRetry = true, isExposed = true)
            repeat(100) {
                assertFalse(limiter.permits(TRIAL, isRetry = true))
                limiter.record(TRIAL, isRetry = true, isExposed = false)
            }
        }
    }

    @Nested
    inner class Streams {
        @Test
        fun `that are bound to the version get the whole limit and no more`() {
            val limiter = ExposureLimiter(limits, draw = 0.0)
            val sent = (1..1_000).count {
                val isPermitted = limiter.permits(TRIAL, isBound = true)
                isPermitted.also { limiter.record(TRIAL, isRetry = false, isExposed = it) }
            }
            assertEquals((100 + limits.slack / FORWARDERS).toInt(), sent)
            assertFalse(limiter.permits(TRIAL), "new requests have no share left")
        }
    }

    @Nested
    inner class Phases {
        @Test
        fun `after the trial permit all or nothing`() {
            val limiter = ExposureLimiter(limits, draw = 0.0)
            assertEquals(100, limiter.sent(100, MOVING))
            assertEquals(0, limiter.sent(100, ROLLED_BACK))
        }
    }

    private companion object {
        const val FORWARDERS = 20
    }
}
