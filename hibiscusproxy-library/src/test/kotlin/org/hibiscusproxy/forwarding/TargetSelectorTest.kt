package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.forwarding.RoutingFixture.engines
import org.hibiscusproxy.forwarding.RoutingFixture.orders
import org.hibiscusproxy.forwarding.RoutingFixture.target
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.TargetUse
import org.junit.jupiter.api.Nested

class TargetBookTest {
    private val time = TestTimeSource()

    private fun book(vararg targets: DiscoveredTarget, seed: Int = 1) =
        TargetBook(2.0, time, Random(seed)).apply {
            takeRouting(RoutingFixture.services, emptySet())
            takeTargets(targets.toList())
        }

    private fun prompt(subject: String, session: String = "own") = Prompt(
        "m",
        listOf(PromptPart("base", 2_000), PromptPart(subject, 6_000), PromptPart(session, 500)),
        promptTokens = 8_500,
        outputTokens = 50,
    )

    private fun request(
        service: ServiceName = engines,
        prompt: Prompt? = null,
        excluded: Set<TargetName> = emptySet(),
    ) = PlacementRequest(service, prompt, 400.milliseconds, 5.seconds, excluded)

    private fun TargetBook.chosen(request: PlacementRequest): TargetName =
        assertIs<PlacementChoice.Chosen>(choose(request)).target.name

    private fun TargetBook.refusal(request: PlacementRequest): RefusalReason =
        assertIs<PlacementChoice.Refused>(choose(request)).reason

    @Nested
    inner class Usable {
        @Test
        fun `leaving, drained and tried targets get nothing`() {
            val book = book(target(1, isLeaving = true), target(2), target(3))
            book.takeRouting(RoutingFixture.services, setOf(DataCenterName("dc-2")))
            val left = TargetName("engines-3")
            assertEquals(left, book.chosen(request()))
            assertEquals(RefusalReason.NO_TARGET, book.refusal(request(excluded = setOf(left))))
        }

        @Test
        fun `a target that failed to connect is passed over until its suspension ends`() {
            val book = book(target(1, orders, slots = 6), target(2, orders, slots = 6))
            val failed = TargetName("orders-1")
            book.end(book.begin(failed, null), AttemptResult.UNREACHABLE)
            repeat(20) { assertEquals("orders-2", book.chosen(request(orders)).value) }
            time += TargetHealth.FIRST_SUSPENSION
            val both = (1..50).mapTo(HashSet()) { book.chosen(request(orders)) }
            assertTrue(failed in both, "$both")
        }

        @Test
        fun `a target that started again under its name is another one`() {
            val book = book(target(1, startedAt = 1))
            book.begin(TargetName("engines-1"), null)
            book.takeTargets(listOf(target(1, startedAt = 2)))
            assertEquals(emptyList(), book.ownUses())
        }
    }

    @Nested
    inner class Prompts {
        @Test
        fun `entries that know nothing of each other choose the same engine for a subject`() {
            val targets = (1..6).map { target(it) }.toTypedArray()
            val first = book(*targets, seed = 1)
            val second = book(*targets, seed = 2)
            for (subject in 1..50) {
                val prompt = prompt("subject-$subject")
                assertEquals(
                    first.chosen(request(prompt = prompt)),
                    second.chosen(request(prompt = prompt)),
                )
            }
        }

        @Test
        fun `a hot subject leaves its engine only at the load bound`() {
            val book = book(*(1..6).map { target(it) }.toTypedArray())
            val prompt = prompt("hot")
            val home = book.chosen(request(prompt = prompt))
            val placed = (1..60).map { number ->
                val target = book.chosen(request(prompt = prompt))
                book.answered(book.begin(target, prompt("hot", "own-$number")))
                target
            }
            val running = placed.groupingBy { it }.eachCount()
            val mean = 60.0 / 6
            assertTrue(running.values.all { it <= 2 * mean + 3 }, "$running")
            assertTrue(running.getValue(home) > mean, "$running")
        }

        @Test
        fun `a prompt whose home was added is copied from its home before`() {
            val before = (1..5).map { target(it) }
            val book = book(*before.toTypedArray())
            time += 60.seconds
            val homes = (1..50).associateWith { book.chosen(request(prompt = prompt("s-$it"))) }
            book.takeTargets(before + target(6))
            val moved = homes.filter { (subject, home) ->
                val choice = book.choose(request(prompt = prompt("s-$subject")))
                val chosen = assertIs<PlacementChoice.Chosen>(choice)
                if (chosen.target.name != home) assertEquals(home, chosen.cachedAt?.name)
                chosen.target.name != home
            }
            assertTrue(moved.size in 1..25, "${moved.size} of 50 moved")
        }

        @Test
        fun `work of other entries counts`() {
            val book = book(target(1), target(2))
            val prompt = prompt("subject")
            val home = book.chosen(request(prompt = prompt))
            book.takeFleetLoad(2, listOf(TargetUse(home, 40)))
            assertTrue(book.chosen(request(prompt = prompt)) != home)
        }
    }

    /** A burst at a service with few slots. */
    @Nested
    inner class Bursts {
        private val targets = (1..3).map { target(it, orders, slots = 6) }.toTypedArray()

        @Test
        fun `are spread evenly`() {
            val book = book(*targets)
            repeat(18) { book.begin(book.chosen(request(orders)), null) }
            assertTrue(book.ownUses().all { it.running in 4..8 }, "${book.ownUses()}")
        }

        @Test
        fun `are refused at once beyond what can be answered on time`() {
            val book = book(*targets)
            var admitted = 0
            while (true) {
                val choice = book.choose(request(orders))
                if (choice !is PlacementChoice.Chosen) break
                book.begin(choice.target.name, null)
                admitted += 1
            }
            val refusal = assertIs<PlacementChoice.Refused>(book.choose(request(orders)))
            assertEquals(RefusalReason.OVERLOADED, refusal.reason)
            assertTrue(admitted in 18..18 * 9, "$admitted")
            assertTrue(refusal.retryAfter in 50.milliseconds..1_500.milliseconds, "$refusal")
        }
    }

    /** Targets that came back cold, found by all entries at the same moment. */
    @Nested
    inner class ColdTargets {
        @Test
        fun `bear no more than their rate over all entries in any second`() {
            val entries = 8
            val books = (1..entries).map { book(target(1, coldMilliseconds = 3_000), seed = it) }
            books.forEach { it.takeFleetLoad(entries, emptyList()) }
            val sent = ArrayDeque<kotlin.time.ComparableTimeMark>()
            var most = 0
            repeat(290) {
                time += 10.milliseconds
                books.forEach { book ->
                    if (book.choose(request()) is PlacementChoice.Chosen) {
                        book.begin(TargetName("engines-1"), null)
                        sent.addLast(time.markNow())
                    }
                }
                val limit = time.markNow() - 1.seconds
                while (sent.isNotEmpty() && sent.first() < limit) sent.removeFirst()
                most = maxOf(most, sent.size)
            }
            assertTrue(most in 1..20, "$most requests in a second")
        }

        @Test
        fun `are refused with the time at which they are warm`() {
            val book = book(target(1, coldMilliseconds = 800))
            assertEquals(RefusalReason.COLD, book.refusal(request()))
        }
    }
}
