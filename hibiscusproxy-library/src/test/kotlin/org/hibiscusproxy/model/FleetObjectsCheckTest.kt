package org.hibiscusproxy.model

import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against publishing object sets that parts of the fleet cannot apply. */
class FleetObjectsCheckTest {
    private val consistent = FleetObjects(
        teams = listOf(Team(TeamName("skupaj"))),
        services = listOf(
            Service(ServiceName("chat"), ServiceKind.Chat(listOf(ModelName("manuals")))),
            Service(ServiceName("booking"), ServiceKind.Plain()),
        ),
        dataCenters = listOf(
            DataCenter(DataCenterName("lj"), "eu"),
            DataCenter(DataCenterName("mb"), "eu"),
        ),
        links = listOf(Link(DataCenterName("lj"), DataCenterName("mb"), 1.5)),
        targets = listOf(
            target("engine-1", "chat", 9001).copy(models = listOf(ModelName("manuals"))),
            target("booking-1", "booking", 9002),
        ),
        routingRules = listOf(
            RoutingRule(RoutingRuleName("large"), ServiceName("chat"), TeamName("skupaj")),
        ),
    )

    private fun target(name: String, service: String, port: Int) = Target(
        TargetName(name),
        ServiceName(service),
        DataCenterName("lj"),
        NetworkAddress("127.0.0.1", port),
    )

    private fun descriptions(objects: FleetObjects) =
        FleetObjectsCheck.faults(objects).map { it.toString() }

    @Test
    fun `finds nothing in a consistent set`() {
        assertEquals(emptyList(), descriptions(consistent))
    }

    @Nested
    inner class Faults {
        @Test
        fun `are all reported together with kind and name`() {
            val objects = consistent.copy(
                teams = listOf(
                    Team(TeamName("skupaj"), share = 0),
                    Team(TeamName("skupaj")),
                    Team(TeamName("")),
                ),
                services = consistent.services +
                    Service(ServiceName("empty"), ServiceKind.Chat(emptyList())),
                links = listOf(Link(DataCenterName("lj"), DataCenterName("kp"), -1.0)),
                targets = consistent.targets +
                    target("engine-2", "chat", 9001) +
                    target("engine-3", "gone", 0).copy(coldCapacity = 17),
                routingRules = listOf(
                    RoutingRule(
                        RoutingRuleName("large"),
                        ServiceName("chat"),
                        TeamName("volta"),
                        targets = listOf(TargetName("booking-1"), TargetName("engine-9")),
                    ),
                ),
            )

            assertEquals(
                """
                team "skupaj": the name is used more than once
                team "": the name must be 1 to 64 letters, digits, dots, underscores or hyphens
                team "skupaj": share must be in 1..1000: 0
                service "empty": lists no model
                link "lj - kp": refers to data centre "kp", which does not exist
                link "lj - kp": oneWayMilliseconds must be in 0.0..10000.0: -1.0
                target "engine-2": shares address 127.0.0.1:9001 with "engine-1"
                target "engine-2": lists no model
                target "engine-3": coldCapacity must be in 1..16: 17
                target "engine-3": the address must be an IP number and a port from 1 to 65535: 127.0.0.1:0
                target "engine-3": refers to service "gone", which does not exist
                routing rule "large": refers to team "volta", which does not exist
                routing rule "large": targets "booking-1": serves booking
                routing rule "large": refers to target "engine-9", which does not exist
                """.trimIndent().lines(),
                descriptions(objects),
            )
        }

        @Test
        fun `include host names, which would need a look-up`() {
            val target = target("booking-1", "booking", 9002)
                .copy(sidecar = NetworkAddress("booking.example", 9002))
            val objects = consistent.copy(targets = listOf(target))

            assertEquals(
                listOf(
                    ObjectFault.BadAddress(ObjectKind.TARGET, "booking-1", "booking.example:9002"),
                ),
                FleetObjectsCheck.faults(objects),
            )
        }

        @Test
        fun `include NaN`() {
            val target = target("booking-1", "booking", 9002).copy(weight = Double.NaN)
            val objects = consistent.copy(targets = listOf(target))

            assertEquals(
                listOf("target \"booking-1\": weight must be in 0.001..1000.0: NaN"),
                descriptions(objects),
            )
        }
    }
}
