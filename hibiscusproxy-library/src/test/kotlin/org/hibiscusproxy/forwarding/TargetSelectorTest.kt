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
import org.hibiscusproxy.protocol.FleetLoad
import org.hibiscusproxy.protocol.TargetUse
import org.junit.jupiter.api.Nested

class TargetSelectorTest {
    private val time = TestTimeSource()

    private fun selector(vararg targets: DiscoveredTarget, seed: Int = 1) =
        TargetSelector(2.0, time, Random(seed)).apply {
            updateRouting(RoutingFixture.services, emptySet())
            updateTargets(targets.toList())
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

    private fun TargetSelector.chosen(request: PlacementRequest): TargetName =
        assertIs<PlacementChoice.Chosen>(choose(request)).target.name

    private fun TargetSelector.refusal(request: PlacementRequest): RefusalReason =
        assertIs<PlacementChoice.Refused>(choose(request)).reason

    @Nested
    inner class Usable {
        @Test
        fun `leaving, drained and excluded targets receive no requests`() {
            val selector = selector(target(1, isLeaving = true), target(2), target(3))
            selector.updateRouting(RoutingFixture.services, setOf(DataCenterName("dc-2")))
            val remaining = TargetName("engines-3")
            assertEquals(remaining, selector.chosen(request()))
            val refusal = selector.refusal(request(excluded = setOf(remaining)))
            assertEquals(RefusalReason.NO_TARGET, refusal)
        }

        @Test
        fun `an unreachable target is not chosen until its suspension ends`() {
            val selector = selector(target(1, orders, slots = 6), target(2, orders, slots = 6))
            val failed = TargetName("orders-1")
            selector.end(selector.begin(failed, null), AttemptResult.UNREACHABLE)
            repeat(20) { assertEquals("orders-2", selector.chosen(request(orders)).value) }
            time += TargetHealth.FIRST_SUSPENSION
            val both = (1..50).mapTo(HashSet()) { selector.chosen(request(orders)) }
            assertTrue(failed in both, "$both")
        }

        /** Guards against an exception in place of a choice, after which requests got no answer. */
        @Test
        fun `one of several engines that are all suspended is chosen for a prompt`() {
            val selector = selector(target(1), target(2))
            for (number in 1..2) {
                val failed = selector.begin(TargetName("engines-$number"), null)
                selector.end(failed, AttemptResult.UNREACHABLE)
            }
            selector.chosen(request(prompt = prompt("manual")))
        }

        /** Guards against the same exception. */
        @Test
        fun `an engine is chosen for a prompt of which no part is named`() {
            val unnamed = Prompt("m", emptyList(), promptTokens = 8_500, outputTokens = 50)
            selector(target(1), target(2)).chosen(request(prompt = unnamed))
        }

        @Test
        fun `an engine that is listed before the routing is known keeps its prompts`() {
            val selector = TargetSelector(2.0, time, Random(1)).apply {
                updateTargets(listOf(target(1), target(2)))
                updateRouting(RoutingFixture.services, emptySet())
            }
            val prompt = prompt("manual")
            selector.begin(TargetName("engines-1"), prompt)
            val others = request(prompt = prompt, excluded = setOf(TargetName("engines-1")))
            val chosen = assertIs<PlacementChoice.Chosen>(selector.choose(others))
            assertEquals("engines-1", chosen.cachedAt?.name?.value)
            assertEquals(0, selector.begin(TargetName("engines-1"), prompt).uncachedTokens)
        }

        @Test
        fun `a target that restarts under the same name is a new target`() {
            val selector = selector(target(1, startedAt = 1))
            selector.begin(TargetName("engines-1"), null)
            selector.updateTargets(listOf(target(1, startedAt = 2)))
            assertEquals(emptyList(), selector.ownUsage())
        }
    }

    @Nested
    inner class Prompts {
        /** Guards against new targets that seem slow because their caches are empty. */
        @Test
        fun `the expected prefill is that of the tokens that are not cached`() {
            val selector = selector(target(1))
            val first = selector.begin(TargetName("engines-1"), prompt("manual"))
            val second = selector.begin(TargetName("engines-1"), prompt("manual", "other"))
            assertEquals(425.milliseconds, selector.expectedPrefill(first))
            assertEquals(25.milliseconds, selector.expectedPrefill(second))
        }

        @Test
        fun `entries without load reports choose the same engine for a subject`() {
            val targets = (1..6).map { target(it) }.toTypedArray()
            val first = selector(*targets, seed = 1)
            val second = selector(*targets, seed = 2)
            for (subject in 1..50) {
                val prompt = prompt("subject-$subject")
                assertEquals(
                    first.chosen(request(prompt = prompt)),
                    second.chosen(request(prompt = prompt)),
                )
            }
        }

        @Test
        fun `a frequent subject uses other engines only at the load bound`() {
            val selector = selector(*(1..6).map { target(it) }.toTypedArray())
            val prompt = prompt("hot")
            val preferred = selector.chosen(request(prompt = prompt))
            val placed = (1..60).map { number ->
                val target = selector.chosen(request(prompt = prompt))
                selector.recordFirstPart(selector.begin(target, prompt("hot", "own-$number")))
                target
            }
            val running = placed.groupingBy { it }.eachCount()
            val mean = 60.0 / 6
            assertTrue(running.values.all { it <= 2 * mean + 3 }, "$running")
            assertTrue(running.getValue(preferred) > mean, "$running")
        }

        @Test
        fun `a prompt that moves to an added engine is copied from its previous one`() {
            val before = (1..5).map { target(it) }
            val selector = selector(*before.toTypedArray())
            time += 60.seconds
            val previous = (1..50).associateWith {
                selector.chosen(request(prompt = prompt("s-$it")))
            }
            selector.updateTargets(before + target(6))
            val moved = previous.filter { (subject, engine) ->
                val choice = selector.choose(request(prompt = prompt("s-$subject")))
                val chosen = assertIs<PlacementChoice.Chosen>(choice)
                if (chosen.target.name != engine) assertEquals(engine, chosen.cachedAt?.name)
                chosen.target.name != engine
            }
            assertTrue(moved.size in 1..25, "${moved.size} of 50 moved")
        }

        @Test
        fun `a prompt stays at the engine to which another entry sent it until that is busy`() {
            val targets = (1..5).map { target(it) }.toTypedArray()
            val (first, second) = listOf(selector(*targets), selector(*targets, seed = 2))
            time += 60.seconds
            val shared = prompt("subject")
            val preferred = first.chosen(request(prompt = shared))
            val holder = (1..5).map { TargetName("engines-$it") }.last { it != preferred }
            first.begin(holder, shared)

            second.updateFleetLoad(FleetLoad(2, emptyList(), first.takeSentPrompts()))

            val choice = assertIs<PlacementChoice.Chosen>(second.choose(request(prompt = shared)))
            assertEquals(holder, choice.target.name)
            assertEquals(null, choice.cachedAt)
            assertEquals(emptyList(), first.takeSentPrompts())

            second.updateFleetLoad(FleetLoad(2, listOf(TargetUse(holder, 40))))

            val moved = assertIs<PlacementChoice.Chosen>(second.choose(request(prompt = shared)))
            assertEquals(preferred, moved.target.name)
            assertEquals(holder, moved.cachedAt?.name)
        }

        @Test
        fun `load of other entries is taken into account`() {
            val selector = selector(target(1), target(2))
            val prompt = prompt("subject")
            val preferred = selector.chosen(request(prompt = prompt))
            selector.updateFleetLoad(FleetLoad(2, listOf(TargetUse(preferred, 40))))
            assertTrue(selector.chosen(request(prompt = prompt)) != preferred)
        }
    }

    /** Bursts of requests to a service with few slots. */
    @Nested
    inner class Bursts {
        private val targets = (1..3).map { target(it, orders, slots = 6) }.toTypedArray()

        @Test
        fun `are spread evenly`() {
            val selector = selector(*targets)
            repeat(18) { selector.begin(selector.chosen(request(orders)), null) }
            assertTrue(selector.ownUsage().all { it.running in 4..8 }, "${selector.ownUsage()}")
        }

        @Test
        fun `are refused immediately beyond what can be answered in time`() {
            val selector = selector(*targets)
            var admitted = 0
            while (true) {
                val choice = selector.choose(request(orders))
                if (choice !is PlacementChoice.Chosen) break
                selector.begin(choice.target.name, null)
                admitted += 1
            }
            val refusal = assertIs<PlacementChoice.Refused>(selector.choose(request(orders)))
            assertEquals(RefusalReason.OVERLOADED, refusal.reason)
            assertTrue(admitted in 18..18 * 9, "$admitted")
            assertTrue(refusal.retryAfter in 50.milliseconds..1_500.milliseconds, "$refusal")
        }
    }

    /** Targets that restart cold and are discovered by all forwarders simultaneously. */
    @Nested
    inner class ColdTargets {
        @Test
        fun `receive no more than their rate from all entries in any second`() {
            val forwarders = 8
            val selectors = (1..forwarders).map {
                selector(target(1, coldMilliseconds = 3_000), seed = it)
            }
            selectors.forEach { it.updateFleetLoad(FleetLoad(forwarders, emptyList())) }
            val sent = ArrayDeque<kotlin.time.ComparableTimeMark>()
            var maximum = 0
            repeat(290) {
                time += 10.milliseconds
                selectors.forEach { selector ->
                    if (selector.choose(request()) is PlacementChoice.Chosen) {
                        selector.begin(TargetName("engines-1"), null)
                        sent.addLast(time.markNow())
                    }
                }
                val limit = time.markNow() - 1.seconds
                while (sent.isNotEmpty() && sent.first() < limit) sent.removeFirst()
                maximum = maxOf(maximum, sent.size)
            }
            assertTrue(maximum in 1..20, "$maximum requests in a second")
        }

        @Test
        fun `refuse requests while their rate limit is exhausted`() {
            val selector = selector(target(1, coldMilliseconds = 800))
            assertEquals(RefusalReason.COLD, selector.refusal(request()))
        }
    }
}
