package org.hibiscusproxy.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.junit.jupiter.api.Nested

/** Guards against memory that grows without bound, and against giving up the wrong connection. */
class CallerMemoryBudgetTest {
    private val time = TestTimeSource()
    private val budget = CallerMemoryBudget<String>(LIMIT, time)

    private fun open(name: String, unfinished: Long = 0, inProgress: Long = 0, unread: Long = 0) =
        budget.open(name).apply { update(unfinished, inProgress, unread) }

    @Nested
    inner class `Within the limit` {
        @Test
        fun `nothing is given up`() {
            open("a", unfinished = LIMIT / 2)
            val last = open("b", unfinished = LIMIT / 2)
            assertEquals(emptyList(), budget.excess(last))
        }

        @Test
        fun `a limit of a small heap admits the largest body`() {
            val bytes = CallerMemoryBudget.defaultBytes(heapBytes = 64L * 1024 * 1024)
            val alone = CallerMemoryBudget<String>(bytes, time)
            val body = alone.open("a").apply { update(unfinished = 4_194_304) }
            assertEquals(emptyList(), alone.excess(body))
        }

        @Test
        fun `what was released counts no longer`() {
            open("a", unfinished = LIMIT).release()
            assertEquals(0, budget.usedBytes)
            assertEquals(emptyList(), budget.excess(open("b", unfinished = LIMIT)))
        }
    }

    @Nested
    inner class `Beyond the limit` {
        @Test
        fun `a body without progress is given up before a larger one`() {
            open("stalled", unfinished = LIMIT / 4)
            time += 600.milliseconds
            open("moving", unfinished = LIMIT / 2)
            val last = open("last", unfinished = LIMIT / 2)
            assertEquals(listOf(Excess.Body("stalled")), budget.excess(last))
        }

        @Test
        fun `the largest body without progress is given up first`() {
            open("small", unfinished = LIMIT / 4)
            open("large", unfinished = LIMIT / 2)
            time += 600.milliseconds
            val last = open("last", unfinished = LIMIT / 2)
            assertEquals(listOf(Excess.Body("large")), budget.excess(last))
        }

        @Test
        fun `a small body goes through while large ones hold the budget`() {
            open("large", unfinished = LIMIT)
            val last = open("small", unfinished = 1_000)
            assertEquals(listOf(Excess.Body("large")), budget.excess(last))
        }

        @Test
        fun `requests in progress keep their bodies and a small one uses the reserve`() {
            open("running", inProgress = LIMIT)
            time += 5.seconds
            assertEquals(emptyList(), budget.excess(open("small", unfinished = 1_000)))
        }

        @Test
        fun `a small body beyond the reserve is refused`() {
            open("running", inProgress = LIMIT + LIMIT / 4)
            val last = open("small", unfinished = 1_000)
            assertEquals(listOf(Excess.Refused("small")), budget.excess(last))
        }

        @Test
        fun `small requests that began long ago are given up, the oldest first`() {
            open("oldest", unfinished = LIMIT / 20)
            time += 1.seconds
            open("old", unfinished = LIMIT / 20)
            time += 1.seconds
            open("running", inProgress = LIMIT - LIMIT / 20)
            val last = open("new", unfinished = 1_000)
            val expected = listOf(Excess.Body("oldest"), Excess.Body("old"))
            assertEquals(expected, budget.excess(last))
        }

        @Test
        fun `what was sent behind a request in progress is given up`() {
            budget.open("pipelining").update(inProgress = 1_000, pipelined = LIMIT)
            val last = open("small", unfinished = 1_000)
            assertEquals(listOf(Excess.Pipelined("pipelining")), budget.excess(last))
        }

        @Test
        fun `an answer is given up only after it was unread for some time`() {
            open("reader", unread = LIMIT)
            val last = open("small", unfinished = 1_000)
            assertEquals(emptyList(), budget.excess(last))
            time += 3.seconds
            assertEquals(listOf(Excess.Answer("reader")), budget.excess(last))
        }
    }

    private companion object {
        const val LIMIT = 1_000_000L
    }
}
