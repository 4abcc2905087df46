package org.hibiscusproxy.control

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import org.hibiscusproxy.control.ClaimFixture.answer
import org.hibiscusproxy.control.ClaimFixture.attempt
import org.hibiscusproxy.control.ClaimFixture.claim
import org.hibiscusproxy.control.ClaimFixture.complete
import org.hibiscusproxy.control.ClaimFixture.release
import org.hibiscusproxy.control.ControlFixture.run
import org.hibiscusproxy.protocol.ClaimOutcome
import org.hibiscusproxy.protocol.ControlRefusal
import org.junit.jupiter.api.Nested

/** Guards against a non-repeatable request that runs twice, or whose answer is lost. */
class ClaimTest {
    private val state = ControlState()
    private val first = attempt("r1")
    private val other = attempt("r2")

    @Nested
    inner class Claiming {
        @Test
        fun `grants one attempt and tells others that it is in progress`() {
            assertEquals(ClaimOutcome.Granted(first), state.claim(first))
            assertEquals(ClaimOutcome.InProgress(first), state.claim(other, entry = "entry-2"))
        }

        @Test
        fun `gives a resend by the claiming entry the same outcome`() {
            state.claim(first)

            assertEquals(ClaimOutcome.Granted(first), state.claim(first, at = 5_000))
        }

        @Test
        fun `does not grant an equal attempt to another entry`() {
            state.claim(first)

            assertEquals(ClaimOutcome.InProgress(first), state.claim(first, entry = "entry-2"))
        }

        @Test
        fun `refuses different content under the same key in each phase`() {
            state.claim(first)
            assertEquals(ClaimOutcome.ContentMismatch, state.claim(other, content = 2))
            state.release(first)
            assertEquals(ClaimOutcome.ContentMismatch, state.claim(other, content = 2))
            state.claim(other)
            state.complete(other, answer("done"))
            assertEquals(ClaimOutcome.ContentMismatch, state.claim(attempt("r3"), content = 2))
        }

        @Test
        fun `is refused with a key over the maximum length`() {
            val outcome = state.claim(first, key = "k".repeat(257))

            assertEquals(ClaimOutcome.Refused(ControlRefusal.FULL), outcome)
        }

        @Test
        fun `is refused as full at the maximum number of claims`() {
            val small = ControlState(ControlLimits(maximumClaims = 1))
            small.claim(first)

            assertEquals(
                ClaimOutcome.Refused(ControlRefusal.FULL),
                small.claim(other, key = "other"),
            )
        }
    }

    @Nested
    inner class ExpiredDeadline {
        @Test
        fun `never releases a claim`() {
            state.claim(first, at = 0)

            assertEquals(ClaimOutcome.InProgress(first), state.claim(other, at = 999))
            assertEquals(ClaimOutcome.OutcomeUnknown, state.claim(other, at = 1_000))
            assertEquals(ClaimOutcome.OutcomeUnknown, state.claim(other, at = 10.hours.ms()))
        }

        @Test
        fun `does not prevent a late answer from being stored`() {
            state.claim(first, at = 0)
            state.claim(other, at = 5_000)

            assertTrue(state.complete(first, answer("late"), at = 6_000))
            assertEquals(ClaimOutcome.Completed(answer("late")), state.claim(other, at = 7_000))
        }
    }

    @Nested
    inner class Release {
        @Test
        fun `allows only a later attempt of the same request to claim`() {
            state.claim(attempt("r1", 2))
            assertTrue(state.release(attempt("r1", 2)))

            assertEquals(
                ClaimOutcome.AttemptRefused(attempt("r1", 2)),
                state.claim(attempt("r1", 2)),
            )
            assertEquals(
                ClaimOutcome.AttemptRefused(attempt("r1", 1)),
                state.claim(attempt("r1", 1)),
            )
            assertEquals(ClaimOutcome.Granted(attempt("r1", 3)), state.claim(attempt("r1", 3)))
        }

        @Test
        fun `by an attempt that does not hold the claim has no effect`() {
            state.claim(first)

            assertFalse(state.release(other))
            assertEquals(ClaimOutcome.InProgress(first), state.claim(other))
        }

        @Test
        fun `is acknowledged again on resend`() {
            state.claim(first)
            state.release(first)
            state.claim(other)

            assertTrue(state.release(first))
            assertEquals(ClaimOutcome.InProgress(other), state.claim(attempt("r3")))
        }

        @Test
        fun `after completion is refused`() {
            state.claim(first)
            state.complete(first, answer("done"))

            assertFalse(state.release(first))
        }
    }

    @Nested
    inner class Completion {
        @Test
        fun `of a released attempt is refused`() {
            state.claim(first)
            state.release(first)

            assertFalse(state.complete(first, answer("swapped")))
        }

        @Test
        fun `keeps the first answer`() {
            state.claim(first)
            assertTrue(state.complete(first, answer("one")))
            assertTrue(state.complete(first, answer("two")))

            assertEquals(ClaimOutcome.Completed(answer("one")), state.claim(other))
        }

        @Test
        fun `with an answer over the maximum size is stored without it`() {
            state.claim(first)
            assertTrue(state.complete(first, answer("x".repeat(65_537))))

            assertEquals(ClaimOutcome.AnswerNotStored(200, 65_537), state.claim(other))
        }

        @Test
        fun `beyond the maximum total size is stored without the answer`() {
            val small = ControlState(ControlLimits(maximumStoredBytes = 10))
            small.claim(first)
            small.complete(first, answer("12345678"))
            small.claim(other, key = "other")
            small.complete(other, answer("123"), key = "other")

            val outcome = small.claim(attempt("r3"), key = "other")
            assertEquals(ClaimOutcome.AnswerNotStored(200, 3), outcome)
        }
    }

    @Nested
    inner class Retention {
        @Test
        fun `ends after a day without change`() {
            state.claim(first, at = 0)
            state.complete(first, answer("done"), at = 1_000)

            state.run(Expire(FleetInstant(24.hours.ms() + 999)))
            assertEquals(1, state.claimCount)
            state.run(Expire(FleetInstant(24.hours.ms() + 1_000)))
            assertEquals(0, state.claimCount)
        }
    }

    private fun Duration.ms(): Long = inWholeMilliseconds
}
