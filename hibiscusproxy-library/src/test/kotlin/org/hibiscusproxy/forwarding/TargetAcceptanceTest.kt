package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.forwarding.RoutingFixture.engines
import org.hibiscusproxy.forwarding.RoutingFixture.orders
import org.hibiscusproxy.forwarding.RoutingFixture.target
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.model.TargetName
import org.junit.jupiter.api.Nested

/** Targets that stated that they leave, or that they want no request for some time. */
class TargetAcceptanceTest {
    private val time = TestTimeSource()
    private val first = TargetName("orders-1")
    private val second = TargetName("orders-2")
    private val both = listOf(target(1, orders, slots = 6), target(2, orders, slots = 6))

    private fun selector(targets: List<DiscoveredTarget> = both) =
        TargetSelector(2.0, time, Random(1)).apply {
            updateRouting(RoutingFixture.services, emptySet())
            updateTargets(targets)
        }

    private fun versioned(number: Int, version: String) =
        target(number, orders).copy(version = SoftwareVersion(version))

    private fun request(
        service: ServiceName = orders,
        prompt: Prompt? = null,
        excluded: Set<TargetName> = emptySet(),
        versions: VersionChoice = VersionChoice.Any,
    ) = PlacementRequest(service, prompt, 400.milliseconds, 5.seconds, excluded, versions)

    private fun TargetSelector.chosen(): Set<TargetName> = (1..40).mapTo(HashSet()) {
        assertIs<PlacementChoice.Chosen>(choose(request())).target.name
    }

    private fun TargetSelector.refused(request: PlacementRequest = request()) =
        assertIs<PlacementChoice.Refused>(choose(request))

    @Nested
    inner class Leaving {
        @Test
        fun `sends everything to the others, also when they fail`() {
            val selector = selector()
            assertTrue(selector.recordLeaving(first))
            assertEquals(setOf(second), selector.chosen())
            selector.end(selector.begin(second, null), AttemptResult.UNREACHABLE)
            assertEquals(setOf(second), selector.chosen())
        }

        @Test
        fun `of all targets refuses at once`() {
            val selector = selector()
            listOf(first, second).forEach(selector::recordLeaving)
            assertEquals(RefusalReason.NO_TARGET, selector.refused().reason)
        }

        @Test
        fun `is final for an incarnation, whatever the list says and for how long`() {
            val selector = selector()
            selector.recordLeaving(first)
            selector.recordPause(first, 1.seconds)
            repeat(100) {
                time += 1.minutes
                selector.updateTargets(both)
            }
            assertEquals(setOf(second), selector.chosen())
        }

        @Test
        fun `outlives a list that lacks the target for a moment`() {
            val selector = selector()
            selector.recordLeaving(first)
            selector.updateTargets(both.drop(1))
            time += 10.seconds
            selector.updateTargets(both)
            assertEquals(setOf(second), selector.chosen())
        }

        @Test
        fun `ends when the process starts again`() {
            val old = listOf(target(1, orders, startedAt = 1), target(2, orders))
            val selector = selector(old)
            selector.recordLeaving(first)
            selector.updateTargets(listOf(target(1, orders, startedAt = 2), target(2, orders)))
            assertEquals(setOf(first, second), selector.chosen())
        }

        @Test
        fun `takes no stream that goes on at its version`() {
            val selector = selector(listOf(versioned(1, "v1"), versioned(2, "v2")))
            selector.recordLeaving(first)
            val only = VersionChoice.Only(SoftwareVersion("v1"))
            val refused = selector.refused(request(versions = only))
            assertEquals(RefusalReason.VERSION_GONE, refused.reason)
        }

        @Test
        fun `is no news when it is stated again`() {
            val selector = selector()
            assertEquals(listOf(true, false), List(2) { selector.recordLeaving(first) })
            assertEquals(false, selector.recordLeaving(TargetName("unlisted")))
        }
    }

    @Nested
    inner class Pauses {
        @Test
        fun `send everything to the others until they end`() {
            val selector = selector()
            selector.recordPause(first, 1.5.seconds)
            time += 1_499.milliseconds
            assertEquals(setOf(second), selector.chosen())
            time += 1.milliseconds
            assertEquals(setOf(first, second), selector.chosen())
        }

        @Test
        fun `are not shortened by a later statement`() {
            val selector = selector()
            selector.recordPause(first, 3.seconds)
            selector.recordPause(first, 100.milliseconds)
            time += 2.seconds
            assertEquals(setOf(second), selector.chosen())
        }

        @Test
        fun `are not shortened by answers of running requests or by the list`() {
            val selector = selector()
            val running = selector.begin(first, null)
            selector.recordPause(first, 3.seconds)
            selector.end(running, AttemptResult.ANSWERED)
            selector.updateTargets(both.drop(1))
            selector.updateTargets(both)
            time += 2.seconds
            assertEquals(setOf(second), selector.chosen())
        }

        @Test
        fun `of all targets refuse until the first of them ends`() {
            val selector = selector()
            selector.recordPause(first, 3.seconds)
            selector.recordPause(second, 2.seconds)
            val refused = selector.refused(request(excluded = setOf(first, second)))
            assertEquals(RefusalReason.PAUSED, refused.reason)
            assertTrue(refused.retryAfter in 2.seconds..3.seconds, "${refused.retryAfter}")
        }

        @Test
        fun `do not delay a caller that another target may serve later`() {
            val selector = selector()
            selector.recordPause(first, 3.seconds)
            val refused = selector.refused(request(excluded = setOf(second)))
            assertEquals(RefusalReason.NO_TARGET, refused.reason)
            assertTrue(refused.retryAfter < 1.seconds, "${refused.retryAfter}")
        }

        @Test
        fun `that are implausibly long are bounded`() {
            for (stated in listOf(1e9.seconds, Duration.INFINITE, 2.hours)) {
                val selector = selector()
                selector.recordPause(first, stated)
                time += TargetNotice.LONGEST_PAUSE
                assertEquals(setOf(first, second), selector.chosen())
            }
        }

        @Test
        fun `bar a connection that is established meanwhile`() {
            val selector = selector()
            assertTrue(selector.takesRequests(first))
            selector.recordPause(first, 1.seconds)
            assertEquals(false, selector.takesRequests(first))
        }

        @Test
        fun `spare an engine the copies of its prompts`() {
            val prompt = Prompt(
                "m",
                listOf(PromptPart("manual", 8_000), PromptPart("own", 500)),
                promptTokens = 8_500,
                outputTokens = 50,
            )
            val selector = selector(listOf(target(1), target(2)))
            val choice = assertIs<PlacementChoice.Chosen>(
                selector.choose(request(engines, prompt)),
            )
            selector.begin(choice.target.name, prompt)
            selector.recordPause(choice.target.name, 2.seconds)
            val next = assertIs<PlacementChoice.Chosen>(selector.choose(request(engines, prompt)))
            assertNotEquals(choice.target.name, next.target.name)
            assertNull(next.cachedAt)
        }
    }
}
