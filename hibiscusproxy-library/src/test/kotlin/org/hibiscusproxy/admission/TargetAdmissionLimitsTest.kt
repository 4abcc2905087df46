package org.hibiscusproxy.admission

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.admission.AdmissionDecision.Admitted
import org.hibiscusproxy.admission.AdmissionDecision.Queued
import org.hibiscusproxy.admission.AdmissionDecision.Refused
import org.hibiscusproxy.admission.AdmissionFixture.Companion.attempt
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.model.ServiceKind
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.NotRunReason
import org.hibiscusproxy.protocol.PoolLoad
import org.junit.jupiter.api.Nested

/** Guards the limits on concurrent requests of a target: load bound and cold start limit. */
class TargetAdmissionLimitsTest {
    @Nested
    inner class Bounds {
        private fun admitted(pool: PoolLoad, mayWait: Boolean): Int {
            val fixture = AdmissionFixture(capacity = 16)
            fixture.renew(pool, requestedAt = fixture.time.also { it += 1.milliseconds }.markNow())
            return (0 until 32).count {
                fixture.admission.offer(fixture.dispatch("r$it").copy(mayWait = mayWait)) ==
                    Admitted
            }
        }

        @Test
        fun `queued attempts get the full bound and probes the bound less a margin`() {
            assertEquals(9, admitted(PoolLoad(38, 6), mayWait = true))
            assertEquals(7, admitted(PoolLoad(38, 6), mayWait = false))
        }

        @Test
        fun `an idle pool allows one request and a pool of one target its capacity`() {
            assertEquals(1, admitted(PoolLoad(0, 6), mayWait = false))
            assertEquals(16, admitted(PoolLoad(0, 1), mayWait = false))
        }

        @Test
        fun `probes alone allow any pool to grow to its capacity`() {
            for (size in 2..40) {
                val bound = LoadBound(multiple = 1.25, floor = 1)
                for (total in 0..size * 16) {
                    val pool = PoolLoad(total, size)
                    assertTrue(bound.probeBound(pool) * size > total)
                    assertTrue(bound.probeBound(pool) <= bound.bound(pool))
                }
            }
        }
    }

    @Nested
    inner class ColdStart {
        private val fixture =
            AdmissionFixture(capacity = 8, coldCapacity = 2, kind = ServiceKind.Chat(emptyList()))
        private var next = 0

        private fun serve(firstByte: Duration) {
            val request = "r${next++}"
            fixture.offer(request)
            fixture.time += firstByte
            fixture.renew()
            fixture.admission.firstByte(attempt(request))
            fixture.finish(request)
        }

        @Test
        fun `a cold target admits only its cold capacity when many entries send at once`() {
            val admitted = (0 until 100).count {
                fixture.admission.offer(fixture.dispatch("r$it").copy(mayWait = false)) == Admitted
            }

            assertEquals(2, admitted)
        }

        @Test
        fun `the limit grows with fast first bytes once the target reports that it is warm`() {
            repeat(40) { serve(50.milliseconds) }
            assertEquals(2, fixture.admission.report().limit)

            fixture.admission.targetReported(TargetReport(0, 0, warm = true))
            repeat(24) { serve(50.milliseconds) }
            assertEquals(8, fixture.admission.report().limit)
        }

        @Test
        fun `a target that was out of service is cold until its next report`() {
            fixture.admission.targetReported(TargetReport(0, 0, warm = true))
            repeat(24) { serve(50.milliseconds) }
            fixture.admission.configure(
                fixture.state.copy(targetsOut = setOf(AdmissionFixture.TARGET)),
            )
            fixture.admission.configure(fixture.state)
            repeat(24) { serve(50.milliseconds) }

            assertEquals(2, fixture.admission.report().limit)
        }

        @Test
        fun `slow first bytes halve the limit and a cold report or a lost target resets it`() {
            fixture.admission.targetReported(TargetReport(0, 0, warm = true))
            repeat(24) { serve(50.milliseconds) }
            repeat(8) { serve(2.seconds) }
            assertEquals(4, fixture.admission.report().limit)

            fixture.admission.targetReported(TargetReport(0, 0, warm = false))
            assertEquals(2, fixture.admission.report().limit)

            fixture.admission.targetReported(TargetReport(0, 0, warm = true))
            repeat(24) { serve(50.milliseconds) }
            fixture.offer("lost")
            fixture.finish("lost", AttemptResult.TARGET_LOST)
            assertEquals(2, fixture.admission.report().limit)
            assertEquals(
                setOf(fixture.dispatch("lost").fingerprint),
                fixture.admission.takeCrashedFingerprints(),
            )
            assertEquals(emptySet<Fingerprint>(), fixture.admission.takeCrashedFingerprints())
        }
    }
}
