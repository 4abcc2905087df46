package org.hibiscusproxy.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Refusal
import org.junit.jupiter.api.Nested

class ProvisionalRefusalsTest {
    private val time = TestTimeSource()
    private val refusals = ProvisionalRefusals(time)
    private val first = setOf(Fingerprint(1))
    private val second = setOf(Fingerprint(2))

    @Nested
    inner class Refusals {
        @Test
        fun `end one by one`() {
            assertTrue(refusals.update(mapOf(first to 3, second to 3)))
            assertEquals(mapOf(first to 5.seconds, second to 5_700.milliseconds), refusals.active)
            time += 5.seconds
            assertEquals(setOf(second), refusals.active.keys)
        }

        @Test
        fun `come again only after another crash and take twice as long`() {
            refusals.update(mapOf(first to 3))
            time += 6.seconds
            assertFalse(refusals.update(mapOf(first to 3)))
            assertEquals(emptyMap(), refusals.active)
            assertTrue(refusals.update(mapOf(first to 4)))
            assertEquals(mapOf(first to 10.seconds), refusals.active)
        }

        @Test
        fun `of a sound request that stays a suspect do not grow without bound`() {
            repeat(20) { crashes ->
                refusals.update(mapOf(first to 3 + crashes))
                val remaining = refusals.active.getValue(first)
                assertTrue(remaining <= ProvisionalRefusals.LONGEST_DURATION, "$remaining")
                time += remaining
            }
        }
    }

    @Nested
    inner class Trials {
        @Test
        fun `follow refusals`() {
            refusals.update(mapOf(first to 3))
            time += 8.seconds
            assertEquals(listOf(Refusal(first, 0, 57_000)), refusals.announced)
            assertEquals(mapOf(Fingerprint(1) to 8.seconds), refusals.suspects)
        }

        @Test
        fun `end when the request is answered`() {
            refusals.update(mapOf(first to 3, second to 3))
            time += 8.seconds
            assertTrue(refusals.lift { fingerprint, _ -> fingerprint in first })
            assertFalse(refusals.lift { fingerprint, _ -> fingerprint in first })
            assertEquals(
                listOf(Refusal(first, 0), Refusal(second, 0, 57_700)),
                refusals.announced,
            )
        }

        @Test
        fun `end when the request crashes another target`() {
            refusals.update(mapOf(first to 3))
            time += 8.seconds
            assertTrue(refusals.update(mapOf(first to 4)))
            assertEquals(listOf(Refusal(first, 10_000, 60_000)), refusals.announced)
        }
    }

    @Nested
    inner class UndecidedCauses {
        private val analysis = CrashAnalysis(time)

        private fun crash(number: Int, vararg requests: Set<Fingerprint>) {
            analysis.recordCrash(TargetName("target-$number"), 0.seconds, requests.toList())
            time += 1.seconds
        }

        @Test
        fun `are all requests that targets ended under equally often`() {
            repeat(3) { crash(it, first, second) }
            assertEquals(emptySet(), analysis.causes())
            assertEquals(mapOf(first to 3, second to 3), analysis.undecidedCauses(emptySet()))
        }

        @Test
        fun `are not those that were answered since`() {
            repeat(3) { crash(it, first, second) }
            analysis.recordSurvivedAnswer(Fingerprint(2), 500.milliseconds)
            assertEquals(mapOf(first to 3), analysis.undecidedCauses(emptySet()))
        }

        @Test
        fun `are not parts that most requests have`() {
            val base = Fingerprint(9)
            repeat(6) { number ->
                val requests = List(3) { setOf(base, Fingerprint(100L + number * 10 + it)) }
                crash(number, *requests.toTypedArray())
            }
            assertEquals(emptyMap(), analysis.undecidedCauses(emptySet()))
        }
    }

    @Nested
    inner class RequestsWhoseTargetEnded {
        private val observer = CrashObserver(time)
        private val request = Fingerprint(1)

        @Test
        fun `are not sent to a second target if another one ended under them before`() {
            assertTrue(observer.maySendAgain(request))
            observer.recordCrash(TargetName("target"), listOf(setOf(request)))
            assertFalse(observer.maySendAgain(request))
            assertTrue(observer.maySendAgain(Fingerprint(2)))
        }

        @Test
        fun `are sent to a second target again once they were answered`() {
            observer.recordCrash(TargetName("target"), listOf(setOf(request)))
            time += 1.seconds
            observer.recordSurvivedAnswer(listOf(request), time.markNow())
            assertTrue(observer.maySendAgain(request))
        }
    }
}
