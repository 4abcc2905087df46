package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.forwarding.RoutingFixture.target
import org.junit.jupiter.api.Nested

/** Guards against avoiding a target because of trouble of its whole service, and the reverse. */
class ServiceTroubleTest {
    private val time = TestTimeSource()
    private val random = Random(1)
    private val pool = (1..12).map {
        TargetState(target(it), time.markNow(), 0, TargetNotice(), random)
    }

    private fun trouble() = ServiceTrouble(pool, time.markNow())

    private fun record(state: TargetState, result: AttemptResult) =
        state.health.record(result, time.markNow(), trouble().shareOfOthers(state))

    private fun play(share: (Int) -> Double, result: AttemptResult = AttemptResult.FAILED) =
        repeat(30) {
            time += 60.milliseconds
            pool.forEachIndexed { index, state ->
                val isFailure = random.nextDouble() < share(index)
                record(state, if (isFailure) result else AttemptResult.ANSWERED)
            }
        }

    private val TargetState.isAvoided: Boolean
        get() = trouble().excessShare(this) >= ServiceTrouble.MAXIMUM_EXCESS_SHARE

    @Nested
    inner class Preference {
        @Test
        fun `is kept by all while the whole service fails`() {
            play({ 0.45 })
            assertTrue(pool.none { it.isAvoided })
        }

        @Test
        fun `is lost by the only one that fails`() {
            play({ if (it == 0) 0.6 else 0.02 })
            assertTrue(pool[0].isAvoided)
            assertTrue(pool.drop(1).none { it.isAvoided })
        }

        @Test
        fun `is lost by one that fails always while the others fail at times`() {
            play({ if (it == 0) 1.0 else 0.45 })
            assertTrue(pool[0].isAvoided)
        }

        /** Guards against an engine that gets no request, so that nothing shows its recovery. */
        @Test
        fun `comes back when the last failures are old`() {
            play({ if (it == 0) 0.6 else 0.02 })
            time += 15.seconds
            assertFalse(pool[0].isAvoided)
        }
    }

    @Nested
    inner class Suspension {
        @Test
        fun `needs more broken connections while all targets break them`() {
            play({ 0.45 }, AttemptResult.CONNECTION_BROKEN)
            val state = pool[0]
            record(state, AttemptResult.ANSWERED)
            repeat(3) { record(state, AttemptResult.CONNECTION_BROKEN) }
            assertFalse(state.health.isSuspended(time.markNow()))
            repeat(20) { record(state, AttemptResult.CONNECTION_BROKEN) }
            assertTrue(state.health.isSuspended(time.markNow()))
        }

        @Test
        fun `needs two broken connections of the only one that breaks them`() {
            play({ 0.02 })
            repeat(2) { record(pool[0], AttemptResult.CONNECTION_BROKEN) }
            assertTrue(pool[0].health.isSuspended(time.markNow()))
        }

        @Test
        fun `follows at once if a target is unreachable`() {
            play({ 0.45 })
            record(pool[0], AttemptResult.UNREACHABLE)
            assertTrue(pool[0].health.isSuspended(time.markNow()))
        }
    }

    /** Guards against a failed prompt that is read by another engine, which fails as often. */
    @Nested
    inner class FailedRequests {
        @Test
        fun `may be sent to the same engine only while the whole service fails`() {
            play({ 0.02 })
            assertFalse(trouble().mayRepeatAt(pool[0]))
            play({ 0.45 })
            assertTrue(trouble().mayRepeatAt(pool[0]))
        }
    }
}
