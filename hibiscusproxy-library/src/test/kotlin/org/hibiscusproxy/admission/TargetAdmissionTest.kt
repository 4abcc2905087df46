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

/** Guards which attempts run and which wait, and that a refused attempt never runs. */
class TargetAdmissionTest {
    private fun reason(decision: AdmissionDecision) = assertIs<Refused>(decision).reason

    @Nested
    inner class Leases {
        private val fixture = AdmissionFixture()

        @Test
        fun `an expired lease refuses new attempts and stops those admitted but not yet sent`() {
            assertEquals(Admitted, fixture.offer("a"))
            fixture.time += 3_001.milliseconds

            assertEquals(NotRunReason.NO_LEASE, reason(fixture.offer("b")))
            assertEquals(NotRunReason.NO_LEASE, fixture.admission.confirm(attempt("a")))
        }

        @Test
        fun `the duration of a lease counts from its request`() {
            val requestedAt = fixture.time.markNow()
            fixture.time += 2.seconds
            fixture.renew(requestedAt = requestedAt)
            fixture.time += 1_001.milliseconds

            assertEquals(NotRunReason.NO_LEASE, reason(fixture.offer("a")))
        }

        @Test
        fun `a late lease of an earlier version or leader does not undo a drain`() {
            fixture.time += 10.milliseconds
            fixture.renew(state = OperationalState.OUT, version = 2, fencingNumber = 2)
            fixture.time += 10.milliseconds
            fixture.renew(version = 1, fencingNumber = 2)
            fixture.renew(version = 2, fencingNumber = 1)

            assertEquals(NotRunReason.LEAVING, reason(fixture.offer("a")))
        }

        @Test
        fun `shutdown refuses queued attempts and keeps running ones`() {
            repeat(4) { fixture.offer("run-$it") }
            fixture.offer("waiting")

            val refused = fixture.admission.shutDown().single()

            val expected =
                AdmissionEvent.Refuse(attempt("waiting"), NotRunReason.LEAVING, Duration.ZERO)
            assertEquals(expected, refused)
            assertEquals(4, fixture.admission.report().running)
        }
    }

    @Nested
    inner class Attempts {
        private val fixture = AdmissionFixture(capacity = 1, maximumQueue = 2)

        @Test
        fun `a refused or finished attempt never runs`() {
            fixture.offer("a")
            val probe = fixture.dispatch("probe")
            val first = fixture.admission.offer(probe.copy(mayWait = false))
            fixture.finish("a")

            assertEquals(NotRunReason.OVERLOADED, reason(first))
            assertEquals(NotRunReason.STALE_ATTEMPT, reason(fixture.admission.offer(probe)))
            assertEquals(NotRunReason.STALE_ATTEMPT, reason(fixture.offer("a")))
            assertEquals(Admitted, fixture.admission.offer(fixture.dispatch("probe", number = 2)))
        }

        @Test
        fun `an attempt for an earlier incarnation is refused`() {
            val old = fixture.dispatch("a", incarnation = Incarnation(6))

            assertEquals(NotRunReason.OLD_INCARNATION, reason(fixture.admission.offer(old)))
        }

        @Test
        fun `attempts evicted from the exact history stay refused`() {
            val history = AttemptHistory(fixture.time, 10.minutes, capacity = 100)
            val attempts = List(10_000) { attempt("request-$it") }
            val wronglyRefused = attempts.count { !history.record(it) }

            assertEquals(0, attempts.count { history.record(it) })
            assertEquals(100, history.size)
            assertTrue(wronglyRefused < 10, "$wronglyRefused unseen attempts were refused")
        }

        @Test
        fun `an attempt whose deadline passes before sending is dropped`() {
            fixture.admission.offer(fixture.dispatch("a", remainingMilliseconds = 5))
            fixture.time += 6.milliseconds

            assertEquals(NotRunReason.DEADLINE, fixture.admission.confirm(attempt("a")))
            assertEquals(0, fixture.admission.report().running)
        }

        @Test
        fun `a fingerprint that crashes targets is refused until the refusal expires`() {
            val fingerprint = fixture.dispatch("a").fingerprint
            fixture.admission.refuseFingerprints(setOf(fingerprint), 2.seconds)

            assertEquals(NotRunReason.CRASHES_TARGETS, reason(fixture.offer("a")))
            fixture.time += 2_001.milliseconds
            assertEquals(Admitted, fixture.admission.offer(fixture.dispatch("a", number = 2)))
        }
    }

    @Nested
    inner class Queueing {
        @Test
        fun `teams with queued attempts get slots in proportion to their shares`() {
            val fixture = AdmissionFixture(capacity = 1, maximumQueue = 200)
            fixture.offer("running")
            repeat(40) { fixture.offer("large-$it", "large") }
            repeat(40) { fixture.offer("small-$it", "small") }
            var last = "running"
            val order = List(40) {
                val admitted = fixture.finish(last).single() as AdmissionEvent.Admit
                last = admitted.attempt.request.value
                last.substringBefore('-')
            }

            val large = order.count { it == "large" }
            assertTrue(large in 29..31, "large got $large of 40 slots")
        }

        @Test
        fun `a burst of one team leaves slots in the queue and at the target for others`() {
            val fixture = AdmissionFixture(capacity = 16, maximumQueue = 8)
            fixture.offer("s0", "small")
            val burst = List(40) { fixture.offer("b$it", "large") }

            assertEquals(4, burst.count { it == Queued })
            assertEquals(Admitted, fixture.offer("s1", "small"))
        }

        @Test
        fun `an aged background attempt is admitted before a newer interactive one`() {
            val fixture = AdmissionFixture(capacity = 1)
            fixture.offer("running")
            fixture.offer("background", priority = Priority.BACKGROUND)
            fixture.offer("first", priority = Priority.INTERACTIVE)
            assertEquals(listOf(AdmissionEvent.Admit(attempt("first"))), fixture.finish("running"))

            fixture.time += 4.seconds
            fixture.offer("second", priority = Priority.INTERACTIVE)
            fixture.renew()
            val next = fixture.finish("first")
            assertEquals(listOf(AdmissionEvent.Admit(attempt("background"))), next)
        }

        @Test
        fun `a refusal carries the estimated wait and a queue timeout ends as not run`() {
            val fixture = AdmissionFixture(capacity = 2, maximumQueue = 2, queueTime = 1.seconds)
            repeat(2) { fixture.offer("run-$it") }
            assertEquals(Queued, fixture.offer("waiting"))
            assertEquals(Refused(NotRunReason.OVERLOADED, 2.seconds), fixture.offer("refused"))

            fixture.time += 1_001.milliseconds
            val event = assertIs<AdmissionEvent.Refuse>(fixture.admission.advance().single())
            assertEquals(attempt("waiting"), event.attempt)
            assertEquals(NotRunReason.QUEUE_TIMEOUT, event.reason)
        }

        @Test
        fun `a queued attempt can be cancelled once`() {
            val fixture = AdmissionFixture(capacity = 1)
            fixture.offer("running")
            fixture.offer("waiting")

            assertTrue(fixture.admission.cancelWaiting(attempt("waiting")))
            assertEquals(false, fixture.admission.cancelWaiting(attempt("waiting")))
            assertEquals(emptyList(), fixture.finish("running"))
        }
    }

    @Nested
    inner class Properties {
        @Test
        fun `random sequences never exceed the limits and decide each attempt once`() {
            for (seed in 1..40) {
                val random = Random(seed)
                val fixture = AdmissionFixture(capacity = 5, maximumQueue = 6)
                val running = LinkedHashSet<String>()
                val decided = HashSet<String>()
                fun apply(events: List<AdmissionEvent>) {
                    for (event in events) {
                        val name = event.attempt.request.value
                        assertTrue(decided.add(name), "seed $seed: $name decided twice")
                        if (event is AdmissionEvent.Admit) running += name
                    }
                }
                repeat(400) { step ->
                    when (random.nextInt(4)) {
                        0, 1 -> {
                            val name = "r$step"
                            val team = if (random.nextBoolean()) "large" else "small"
                            val decision = fixture.offer(name, team)
                            if (decision == Admitted) running += name
                            if (decision != Queued) decided += name
                        }

                        2 -> running.randomOrNull(random)?.let {
                            running -= it
                            apply(fixture.finish(it))
                        }

                        else -> {
                            fixture.time += random.nextInt(2_500).milliseconds
                            apply(fixture.renew())
                        }
                    }
                    val report = fixture.admission.report()
                    assertEquals(running.size, report.running, "seed $seed step $step")
                    assertTrue(report.running <= 5 && report.queued <= 6, "seed $seed: $report")
                }
                running.forEach { assertNull(fixture.admission.confirm(attempt(it))) }
            }
        }
    }
}
