package org.hibiscusproxy.retry

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.protocol.NotRunReason
import org.junit.jupiter.api.Nested

/** Guards against repeated execution of non-repeatable requests and against retry storms. */
class RetryPolicyTest {
    private val policy = RetryPolicy(RetryBudget(), Random(1))
    private val request = RetryContext(1, 30.seconds, true, 0, 3)
    private val overloaded = AttemptFailure.NotRun(NotRunReason.OVERLOADED, 200.milliseconds)

    private fun giveUp(reason: GiveUpReason) = RetryDecision.GiveUp(reason)

    @Nested
    inner class Decisions {
        @Test
        fun `a request that did not run is retried at another target, repeatable or not`() {
            val booking = request.copy(repeatable = false)

            assertEquals(RetryDecision.RetryOtherTarget, policy.decide(overloaded, booking))
        }

        @Test
        fun `each reason to give up is reported`() {
            val unknown = AttemptFailure.MayHaveRun
            val cases = listOf(
                unknown to request.copy(repeatable = false) to GiveUpReason.OUTCOME_UNKNOWN,
                unknown to request.copy(bytesRelayed = 1) to GiveUpReason.ALREADY_RELAYED,
                overloaded to request.copy(attempts = 4) to GiveUpReason.ATTEMPTS,
                overloaded to request.copy(remaining = Duration.ZERO) to GiveUpReason.DEADLINE,
                overloaded to request.copy(remaining = 50.milliseconds, untriedTargets = 0) to
                    GiveUpReason.DEADLINE,
                AttemptFailure.NotRun(NotRunReason.CRASHES_TARGETS, Duration.ZERO) to request to
                    GiveUpReason.REFUSED,
                AttemptFailure.NotRun(NotRunReason.CANCELLED, Duration.ZERO) to request to
                    GiveUpReason.CANCELLED,
            )

            for ((case, reason) in cases) {
                assertEquals(giveUp(reason), policy.decide(case.first, case.second))
            }
        }

        @Test
        fun `delays are random and respect the time that the sidecar requested`() {
            val tried = request.copy(untriedTargets = 0)
            val delays = List(10) {
                assertIs<RetryDecision.RetryAfter>(policy.decide(overloaded, tried)).delay
            }

            assertTrue(delays.all { it in 100.milliseconds..200.milliseconds }, "$delays")
            assertEquals(10, delays.toSet().size)
        }
    }

    @Nested
    inner class Storms {
        @Test
        fun `retries stay at a tenth of the requests when half of the targets are lost`() {
            val random = Random(3)
            var retries = 0
            repeat(10_000) {
                policy.requestStarted()
                var attempts = 1
                while (random.nextBoolean()) {
                    val failed = request.copy(attempts = attempts++)
                    if (policy.decide(AttemptFailure.MayHaveRun, failed) is RetryDecision.GiveUp) {
                        break
                    }
                    retries++
                }
            }

            assertTrue(retries <= 10_000 / 10 + 20, "$retries retries")
        }
    }
}
