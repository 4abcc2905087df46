package org.hibiscusproxy.admission

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Fingerprint
import org.junit.jupiter.api.Nested

/**
 * Guards against a request that crashes one target after another, and against refusing harmless
 * requests that were in flight at the same time.
 */
class CrashTrackerTest {
    private val time = TestTimeSource()
    private val tracker = CrashTracker(time, capacity = 100)
    private val poison = Fingerprint(1)
    private val first = TargetName("first")
    private val second = TargetName("second")

    private fun others(from: Long) = List(5) { Fingerprint(from + it) }

    @Nested
    inner class Refusals {
        @Test
        fun `the crash of a second target refuses only the request in flight at both`() {
            tracker.crashed(first, others(10) + poison)
            assertEquals(emptyMap(), tracker.refusals())

            tracker.crashed(second, others(20) + poison)
            assertEquals(mapOf(poison to 10.minutes), tracker.refusals())
        }

        @Test
        fun `repeated crashes of one target refuse nothing`() {
            repeat(5) { tracker.crashed(first, listOf(poison)) }

            assertEquals(emptyMap(), tracker.refusals())
        }

        @Test
        fun `requests in flight at the same two crashes are refused briefly until a third crash`() {
            val harmless = Fingerprint(2)
            tracker.crashed(first, listOf(poison, harmless))
            tracker.crashed(second, listOf(poison, harmless))
            assertEquals(mapOf(poison to 30.seconds, harmless to 30.seconds), tracker.refusals())

            time += 31.seconds
            tracker.crashed(TargetName("third"), listOf(poison))
            assertEquals(mapOf(poison to 10.minutes), tracker.refusals())
        }

        @Test
        fun `a harmless request that completes is cleared`() {
            val harmless = Fingerprint(2)
            tracker.crashed(first, listOf(harmless))
            tracker.completed(harmless)
            tracker.crashed(second, listOf(harmless))

            assertEquals(emptyMap(), tracker.refusals())
        }
    }

    @Nested
    inner class Bounds {
        @Test
        fun `crashes and refusals expire`() {
            tracker.crashed(first, listOf(poison))
            time += 11.minutes
            tracker.crashed(second, listOf(poison))
            assertEquals(emptyMap(), tracker.refusals())

            tracker.crashed(first, listOf(poison))
            time += 11.minutes
            assertEquals(emptyMap(), tracker.refusals())
            assertEquals(0, tracker.size)
        }

        @Test
        fun `the number of fingerprints is bounded`() {
            repeat(500) { tracker.crashed(first, listOf(Fingerprint(it.toLong()))) }

            assertEquals(100, tracker.size)
        }
    }
}
