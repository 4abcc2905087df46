package org.hibiscusproxy.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import org.hibiscusproxy.forwarding.RoutingFixture.configuration
import org.hibiscusproxy.forwarding.RoutingFixture.engines
import org.hibiscusproxy.forwarding.RoutingFixture.route
import org.hibiscusproxy.forwarding.RoutingFixture.team
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TeamName
import org.junit.jupiter.api.Nested

class RoutingCheckTest {
    @Nested
    inner class Consistent {
        @Test
        fun `has no fault`() {
            val valid = configuration(teams = listOf(team("a", "k1"), team("b", "k2")))
            assertEquals(emptyList(), RoutingCheck.faults(valid))
        }
    }

    @Nested
    inner class Inconsistent {
        @Test
        fun `reports every fault at once`() {
            val unknown = ServiceName("gone")
            val invalid = configuration(
                routes = listOf(
                    route("a"),
                    route("b"),
                    route("c", prefix = "/c/", shares = listOf(ServiceShare(unknown, 1))),
                    route("d", prefix = "/d/", shares = listOf(ServiceShare(engines, 0))),
                    route("e", prefix = "/e/", timeoutMilliseconds = 0),
                ),
                teams = listOf(team("x", "k1"), team("y", "k1")),
            )
            assertEquals(
                listOf(
                    RoutingFault.UnknownService("c", unknown),
                    RoutingFault.NoWeight("d"),
                    RoutingFault.NoTimeout("e", 0),
                    RoutingFault.DuplicateRoute("calls.example", "/chat/"),
                    RoutingFault.SharedKey(TeamName("x"), TeamName("y")),
                ),
                RoutingCheck.faults(invalid),
            )
        }

        @Test
        fun `routes of hosts that differ in case only are duplicates`() {
            val routes = listOf(route("a"), route("b", host = "Calls.EXAMPLE"))
            assertEquals(
                listOf<RoutingFault>(RoutingFault.DuplicateRoute("calls.example", "/chat/")),
                RoutingCheck.faults(configuration(routes = routes)),
            )
        }
    }
}
