package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import org.hibiscusproxy.forwarding.RoutingFixture.engines
import org.hibiscusproxy.forwarding.RoutingFixture.orders
import org.hibiscusproxy.forwarding.RoutingFixture.route
import org.junit.jupiter.api.Nested

class ForwardingRouteTest {
    @Nested
    inner class `The services of a route are selected` {
        private fun selected(first: Int, second: Int) =
            route(shares = listOf(ServiceShare(engines, first), ServiceShare(orders, second)))
                .let { route -> List(DRAWS) { route.selectService(Random(it)) } }
                .toSet()

        @Test
        fun `if their weights add up to more than an Int holds`() =
            assertEquals(setOf(engines, orders), selected(Int.MAX_VALUE, Int.MAX_VALUE))

        @Test
        fun `but not those without weight`() = assertEquals(setOf(orders), selected(0, 1))
    }

    private companion object {
        const val DRAWS = 100
    }
}
