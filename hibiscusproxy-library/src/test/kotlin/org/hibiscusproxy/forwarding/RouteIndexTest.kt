package org.hibiscusproxy.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.hibiscusproxy.forwarding.RoutingFixture.configuration
import org.hibiscusproxy.forwarding.RoutingFixture.route
import org.hibiscusproxy.forwarding.RoutingFixture.team
import org.junit.jupiter.api.Nested

class RouteIndexTest {
    private val index = RouteIndex(
        configuration(
            routes = listOf(
                route("short", prefix = "/a/"),
                route("long", prefix = "/a/b/"),
                route("other", host = "other.example", prefix = "/"),
            ),
            teams = listOf(team("volunteers", "key-1", "key-2")),
        ),
    )

    @Nested
    inner class Routes {
        @Test
        fun `the longest prefix wins`() {
            assertEquals("long", index.route("calls.example", "/a/b/c")?.name)
            assertEquals("short", index.route("calls.example", "/a/bc")?.name)
            assertEquals("short", index.route("calls.example", "/a/")?.name)
        }

        @Test
        fun `a prefix ends with its slash`() {
            assertNull(index.route("calls.example", "/a"))
            assertNull(index.route("calls.example", "/ab/c"))
        }

        @Test
        fun `the host is compared without case and port`() {
            assertEquals("other", index.route("OTHER.example:8080", "/x")?.name)
            assertNull(index.route("unknown.example", "/a/b"))
        }
    }

    @Nested
    inner class Teams {
        @Test
        fun `are found by any of their keys`() {
            assertEquals("volunteers", index.team("key-2")?.name?.value)
            assertNull(index.team("key-3"))
        }
    }
}
