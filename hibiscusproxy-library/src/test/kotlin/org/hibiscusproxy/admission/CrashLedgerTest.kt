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
class CrashLedgerTest {
    private val time = TestTimeSource()
    private val ledger = CrashLedger(time, capacity = 100)
    private val poison = Fingerprint(1)
    private val first = TargetName("first")
    private val second = TargetName("second")

    private fun others(from: Long) = List(5) { Fingerprint(from + it) }

    @Nested
    inner class Refusals {
        @Test
        fun `the crash of a second target refuses only the request in flight at both`() {
            ledger.crashed(first, others(10) + poison)
            assertEquals(emptyMap(), ledger.refusals())

            ledger.crashed(second, others(20) + poison)
            assertEquals(mapOf(poison to 10.minutes), ledger.refusals())
        }

        @Test
        fun `repeated crashes of one target refuse nothing`() {
            repeat(5) { ledger.crashed(first, listOf(poison)) }

            assertEquals(emptyMap(), ledger.refusals())
        }

        @Test
        fun `requests in flight at the same two crashes are refused briefly until a third crash`() {
            val harmless = Fingerprint(2)
            ledger.crashed(first, listOf(poison, harmless))
            ledger.crashed(second, listOf(poison, harmless))
            assertEquals(mapOf(poison to 30.seconds, harmless to 30.seconds), ledger.refusals())

            time += 31.seconds
            ledger.crashed(TargetName("third"), listOf(poison))
            assertEquals(mapOf(poison to 10.minutes), ledger.refusals())
        }

        @Test
        fun `a harmless request that completes is cleared`() {
            val harmless = Fingerprint(2)
            ledger.crashed(first, listOf(harmless))
            ledger.completed(harmless)
            ledger.crashed(second, listOf(harmless))

            assertEquals(emptyMap(), ledger.refusals())
        }
    }

    @Nested
    inner class Bounds {
        @Test
        fun `crashes and refusals expire`() {
            ledger.crashed(first, listOf(poison))
            time += 11.minutes
            ledger.crashed(second, listOf(poison))
            assertEquals(emptyMap(), ledger.refusals())

            ledger.crashed(first, listOf(poison))
            time += 11.minutes
            assertEquals(emptyMap(), ledger.refusals())
            assertEquals(0, ledger.size)
        }

        @Test
        fun `the number of fingerprints is bounded`() {
            repeat(500) { ledger.crashed(first, listOf(Fingerprint(it.toLong()))) }

            assertEquals(100, ledger.size)
        }
    }
}
