package org.hibiscusproxy.daemon.controller

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.CrashEvidence
import org.hibiscusproxy.protocol.CrashSuspects
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.ObservedCrash
import org.hibiscusproxy.protocol.Refusal
import org.hibiscusproxy.protocol.RefusalList
import org.hibiscusproxy.protocol.RoutingRequest
import org.hibiscusproxy.protocol.SurvivedAnswer
import org.junit.jupiter.api.Nested

/** Guards against causes of crashes that forwarders do not get to know. */
class CrashServiceTest {
    private val fixture = CoreFixture().elapse(3.seconds)
    private val entries = List(3) { fixture.session("entry-$it") }
        .onEach { fixture.deliver(it, RoutingRequest(0)) }
    private val part = Fingerprint(1)
    private val base = Fingerprint(2)

    private fun crash(number: Int, entry: RecordingSession, suspects: Set<Fingerprint>) {
        val crash = ObservedCrash(TargetName("target-$number"), 0, listOf(suspects))
        fixture.deliver(entry, CrashEvidence(listOf(crash), emptyList()))
    }

    private fun refusals(entry: RecordingSession): Set<Set<Fingerprint>> = entry.received
        .filterIsInstance<RefusalList>()
        .flatMap { it.refusals }
        .mapTo(HashSet()) { it.fingerprints }

    @Nested
    inner class Refusals {
        @Test
        fun `reach all forwarders after crashes that each another one saw`() {
            repeat(3) { number ->
                crash(number, entries[number], setOf(part))
                fixture.elapse(300.milliseconds)
            }
            fixture.elapse(1.seconds)
            assertEquals(List(3) { setOf(setOf(part)) }, entries.map(::refusals))
        }

        @Test
        fun `of requests that cannot be told apart reach all forwarders and end after seconds`() {
            repeat(3) { number ->
                val requests = listOf(setOf(part), setOf(base))
                val crash = ObservedCrash(TargetName("target-$number"), 0, requests)
                fixture.deliver(entries[number], CrashEvidence(listOf(crash), emptyList()))
                fixture.elapse(300.milliseconds)
            }
            fixture.elapse(1.seconds)
            assertEquals(List(3) { setOf(setOf(part), setOf(base)) }, entries.map(::refusals))
            val longest = entries[0].received.filterIsInstance<RefusalList>()
                .flatMap { it.refusals }.maxOf { it.remainingMilliseconds }
            assertTrue(longest <= 6_000, "$longest ms")
        }

        @Test
        fun `are followed by a trial until the request is answered`() {
            repeat(3) { number ->
                val requests = listOf(setOf(part), setOf(base))
                val crash = ObservedCrash(TargetName("target-$number"), 0, requests)
                fixture.deliver(entries[number], CrashEvidence(listOf(crash), emptyList()))
            }
            fixture.elapse(12.seconds)
            val survived = CrashEvidence(emptyList(), listOf(SurvivedAnswer(base, 300)))
            fixture.deliver(entries[1], survived)
            fixture.elapse(200.milliseconds)
            val last = entries[0].received.filterIsInstance<RefusalList>().last().refusals
            assertEquals(listOf(Refusal(setOf(base), 0)), last.filter { base in it.fingerprints })
            val trial = last.single { part in it.fingerprints }
            assertTrue(trial.remainingMilliseconds == 0L && trial.trialMilliseconds > 0, "$trial")
            val restarted = fixture.session("entry-1", incarnation = 2)
            val messages = fixture.deliver(restarted, RoutingRequest(0))
            val announced = messages.filterIsInstance<RefusalList>().flatMap { it.refusals }
            assertTrue(announced.any { part in it.fingerprints && it.trialMilliseconds > 0 })
        }

        @Test
        fun `are the first message to a forwarder that connects`() {
            repeat(3) { number ->
                crash(number, entries[0], setOf(part))
                fixture.elapse(300.milliseconds)
            }
            fixture.elapse(1.seconds)
            val restarted = fixture.session("entry-1", incarnation = 2)
            val messages = fixture.deliver(restarted, RoutingRequest(0))
            assertIs<RefusalList>(messages.first())
        }

        @Test
        fun `are narrowed to what is not answered well`() {
            repeat(3) { number ->
                crash(number, entries[0], setOf(part, base))
                fixture.elapse(300.milliseconds)
            }
            fixture.elapse(1.seconds)
            assertEquals(setOf(setOf(part, base)), refusals(entries[0]))
            val survived = CrashEvidence(emptyList(), listOf(SurvivedAnswer(base, 0)))
            fixture.elapse(500.milliseconds)
            fixture.deliver(entries[1], survived)
            fixture.elapse(500.milliseconds)
            assertEquals(setOf(setOf(part)), refusals(entries[1]))
        }
    }

    @Nested
    inner class Suspects {
        @Test
        fun `are sent to all forwarders until they are cleared`() {
            crash(1, entries[0], setOf(part, base))
            fixture.elapse(200.milliseconds)
            val sent = entries[2].received.filterIsInstance<CrashSuspects>().last()
            assertEquals(setOf(part, base), sent.suspects.mapTo(HashSet()) { it.fingerprint })
            fixture.elapse(500.milliseconds)
            val survived = listOf(part, base).map { SurvivedAnswer(it, 300) }
            fixture.deliver(entries[1], CrashEvidence(emptyList(), survived))
            fixture.elapse(200.milliseconds)
            val last = entries[2].received.filterIsInstance<CrashSuspects>().last()
            assertEquals(emptyList(), last.suspects)
        }
    }
}
