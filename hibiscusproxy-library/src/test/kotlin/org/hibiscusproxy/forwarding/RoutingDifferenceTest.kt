package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import org.hibiscusproxy.forwarding.RoutingFixture.configuration
import org.hibiscusproxy.forwarding.RoutingFixture.route
import org.hibiscusproxy.forwarding.RoutingFixture.team
import org.junit.jupiter.api.Nested

class RoutingDifferenceTest {
    @Nested
    inner class Applied {
        @Test
        fun `yields the next configuration, for random changes`() {
            for (seed in 1L..200L) {
                val random = Random(seed)
                val base = randomConfiguration(random, version = 1)
                val next = randomConfiguration(random, version = 2)
                val applied = RoutingDifference.between(base, next).applyTo(base)
                assertEquals(next.sorted(), applied.sorted(), "seed $seed")
            }
        }

        @Test
        fun `contains only what changed`() {
            val kept = (1..400).map { route("r$it", prefix = "/$it/") }
            val base = configuration(1, kept + route("old", prefix = "/old/"))
            val next = configuration(2, kept + route("new", prefix = "/new/"))
            val difference = RoutingDifference.between(base, next)
            assertEquals(listOf(RouteKey("calls.example", "/old/")), difference.removed)
            assertEquals(listOf("new"), difference.changed.map { it.name })
            assertEquals(null, difference.teams)
        }
    }

    private fun randomConfiguration(random: Random, version: Long): RoutingConfiguration {
        val routes = (1..6).filter { random.nextBoolean() }.map {
            route("r$it", prefix = "/$it/", timeoutMilliseconds = random.nextLong(1, 3))
        }
        val teams = if (random.nextBoolean()) listOf(team("a", "k1")) else emptyList()
        return configuration(version, routes, teams)
    }

    private fun RoutingConfiguration.sorted() = copy(routes = routes.sortedBy { it.pathPrefix })
}
