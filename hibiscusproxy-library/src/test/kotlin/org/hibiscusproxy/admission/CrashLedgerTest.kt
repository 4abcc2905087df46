package org.hibiscusproxy.admission

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Fingerprint
import org.junit.jupiter.api.Nested

/** Guards against a request that takes target after target, and against refusing bystanders. */
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
        fun `the second target lost refuses the request and none of the bystanders`() {
            ledger.crashed(first, others(10) + poison)
            assertEquals(emptyMap(), ledger.refusals())

            ledger.crashed(second, others(20) + poison)
            assertEquals(mapOf(poison to 10.minutes), ledger.refusals())
        }

        @Test
        fun `one target lost again and again is no evidence against what it runs`() {
            repeat(5) { ledger.crashed(first, listOf(poison)) }

            assertEquals(emptyMap(), ledger.refusals())
        }

        @Test
        fun `bystanders of two losses are refused briefly and the third loss tells them apart`() {
            val bystander = Fingerprint(2)
            ledger.crashed(first, listOf(poison, bystander))
            ledger.crashed(second, listOf(poison, bystander))
            assertEquals(mapOf(poison to 30.seconds, bystander to 30.seconds), ledger.refusals())

            time += 31.seconds
            ledger.crashed(TargetName("third"), listOf(poison))
            assertEquals(mapOf(poison to 10.minutes), ledger.refusals())
        }

        @Test
        fun `a bystander that completes is cleared`() {
            val bystander = Fingerprint(2)
            ledger.crashed(first, listOf(bystander))
            ledger.completed(bystander)
            ledger.crashed(second, listOf(bystander))

            assertEquals(emptyMap(), ledger.refusals())
        }
    }

    @Nested
    inner class Bounds {
        @Test
        fun `marks and refusals expire`() {
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
        fun `many losses keep a bounded number of fingerprints`() {
            repeat(500) { ledger.crashed(first, listOf(Fingerprint(it.toLong()))) }

            assertEquals(100, ledger.size)
        }
    }
}
