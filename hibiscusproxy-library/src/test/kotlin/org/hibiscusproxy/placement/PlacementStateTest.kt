package org.hibiscusproxy.placement

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.Link
import org.hibiscusproxy.model.ModelName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.model.RoutingRule
import org.hibiscusproxy.model.RoutingRuleName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.Team
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.protocol.LoadReport
import org.junit.jupiter.api.Nested

/** Guards against wrong or unbounded placement state in entries and sidecars. */
class PlacementStateTest {
    private val time = TestTimeSource()
    private val a = TargetName("a")
    private val b = TargetName("b")
    private val c = TargetName("c")

    @Nested
    inner class Loads {
        private val table = LoadTable(time, expiry = 5.seconds)

        @Test
        fun `dispatches count on top of an older report and not on top of a newer one`() {
            table.recordReport(a, LoadReport(3, 0, 16))
            table.recordDispatch(a)
            assertEquals(LoadReport(4, 0, 16), table.loadOf(a))

            table.recordReport(a, LoadReport(4, 0, 16))
            assertEquals(LoadReport(4, 0, 16), table.loadOf(a))
        }

        /** Guards against retries that are spent on a target whose engine is down. */
        @Test
        fun `a target that reported a limit of zero is closed until the report expires`() {
            table.recordReport(a, LoadReport(0, 0, 0))
            assertTrue(table.isClosed(a))
            table.recordDispatch(b)
            assertFalse(table.isClosed(b))

            time += 6.seconds
            assertFalse(table.isClosed(a))
        }

        @Test
        fun `an expired report leaves the entry's own dispatches`() {
            table.recordReport(a, LoadReport(9, 2, 16))
            table.recordDispatch(a)
            time += 6.seconds
            assertEquals(6.seconds, table.ageOf(a))
            assertEquals(LoadReport(running = 1), table.loadOf(a))

            table.recordEnd(a)
            assertNull(table.loadOf(a))
        }
    }

    @Nested
    inner class Filter {
        private val service = ServiceName("chat")
        private val near = DataCenterName("near")
        private val far = DataCenterName("far")
        private val address = NetworkAddress("127.0.0.1", 1)
        private val m = ModelName("m")
        private val state = FleetState(
            objects = FleetObjects(
                teams = listOf(Team(TeamName("t"), defaultPriority = Priority.INTERACTIVE)),
                links = listOf(Link(far, near, 1.5)),
                targets = listOf(
                    Target(a, service, near, address, listOf(m), listOf(ModelName("x"))),
                    Target(b, service, far, address, listOf(m)),
                    Target(c, service, near, address, listOf(ModelName("other"))),
                ),
                routingRules = listOf(
                    RoutingRule(
                        RoutingRuleName("batch"),
                        service,
                        TeamName("batch"),
                        dataCenters = listOf(far),
                        priority = Priority.BACKGROUND,
                    ),
                ),
            ),
        )
        private val request = RoutedRequest(TeamName("t"), service, m)

        private fun select(request: RoutedRequest, state: FleetState = this.state) =
            TargetFilter(state, near).select(request, LoadTable(time))

        @Test
        fun `model, adapter and rule narrow the targets and set priority and distance`() {
            val all = select(request)
            assertEquals(listOf(a, b), all.names)
            assertEquals(
                listOf(0.milliseconds, 1.5.milliseconds),
                all.candidates.map {
                    it.distance
                },
            )
            assertEquals(Priority.INTERACTIVE, all.priority)

            assertEquals(listOf(a), select(request.copy(adapter = ModelName("x"))).names)
            val batch = select(request.copy(team = TeamName("batch")))
            assertEquals(listOf(b), batch.names)
            assertEquals(Priority.BACKGROUND, batch.priority)
        }

        @Test
        fun `targets and data centres that are out receive no requests`() {
            assertEquals(listOf(b), select(request, state.copy(targetsOut = setOf(a))).names)
            assertEquals(listOf(a), select(request, state.copy(dataCentersOut = setOf(far))).names)
        }

        @Test
        fun `a chat that moved has its previous target for a limited time`() {
            val without = state.copy(targetsOut = setOf(a))
            val previousTargets = PreviousTargets(time, retention = 10.minutes)
            val policy = RendezvousPlacement()
            val keys = List(50) { PrefixKeys.ofText("chat $it") }
            previousTargets.recordChange(TargetFilter(without, near))
            val present = select(request).candidates

            fun previous() = keys.map { previousTargets.find(request, it, policy, present) }
            val expected = keys.map { key ->
                b.takeIf { policy.preferredTarget(key, present) == a }
            }
            assertEquals(expected, previous())
            time += 11.minutes
            assertEquals(keys.map { null }, previous())
        }
    }

    @Nested
    inner class Plan {
        private val ranked = listOf(a, b, c, TargetName("d"))

        @Test
        fun `after three refused probes the request queues at its preferred target`() {
            val plan = RoutePlan()
            val steps = List(4) { plan.next(ranked)!!.also { plan.recordRefusal(it.target) } }

            assertEquals(listOf(a, b, c, a), steps.map { it.target })
            assertEquals(listOf(false, false, false, true), steps.map { it.mayWait })
        }

        @Test
        fun `a pointer is followed once and then the preferred target may run the chat`() {
            val plan = RoutePlan()
            plan.next(ranked)
            plan.recordRedirect(c)
            assertEquals(RouteStep(c, mayWait = false, followsPointer = false), plan.next(ranked))

            plan.recordRefusal(c)
            assertEquals(RouteStep(a, mayWait = false, followsPointer = false), plan.next(ranked))
        }

        @Test
        fun `a previous target is tried first and once`() {
            val plan = RoutePlan(previousTarget = b)

            assertEquals(RouteStep(b, mayWait = false, onlyIfCached = true), plan.next(ranked))
            assertEquals(RouteStep(a, mayWait = false), plan.next(ranked))
        }

        @Test
        fun `the probe budget limits probes in a saturated fleet`() {
            val budget = ProbeBudget(share = 1.0, burst = 10.0)
            val probes = List(100) {
                budget.requestStarted().also { count ->
                    repeat(count) { budget.probeRefused() }
                }
            }

            assertEquals(List(50) { 1 }, probes.takeLast(50))
        }
    }

    @Nested
    inner class Pointers {
        @Test
        fun `the least recently used pointer is evicted and a returning chat loses its own`() {
            val pointers = PlacementPointers(a, capacity = 2)
            pointers.record(PrefixKey(1), b)
            pointers.record(PrefixKey(2), c)
            pointers.targetOf(PrefixKey(1))
            pointers.record(PrefixKey(3), b)
            assertEquals(
                listOf(b, null, b),
                listOf(1L, 2L, 3L).map {
                    pointers.targetOf(PrefixKey(it))
                },
            )

            pointers.record(PrefixKey(1), a)
            assertNull(pointers.targetOf(PrefixKey(1)))
            pointers.removeAll(b)
            assertEquals(0, pointers.size)
        }
    }

    @Nested
    inner class CacheEvents {
        private val index = CacheIndex()
        private val key = PrefixKey(1)

        @Test
        fun `events correct the estimate and duplicate pages are ignored`() {
            index.recordRun(key)
            index.apply(1, CacheEvent.Removed(key))
            index.apply(2, CacheEvent.Stored(key))
            index.apply(1, CacheEvent.Removed(key))

            assertEquals(CacheState.CACHED, index.stateOf(key))
        }

        @Test
        fun `a gap makes cached prefixes unknown until they are confirmed`() {
            index.apply(1, CacheEvent.Stored(key))
            index.apply(5, CacheEvent.Stored(PrefixKey(2)))
            assertEquals(3, index.missedEvents)
            assertEquals(CacheState.UNKNOWN, index.stateOf(key))

            index.recordRun(key)
            assertEquals(CacheState.CACHED, index.stateOf(key))
            index.recordRestart()
            assertEquals(CacheState.UNKNOWN, index.stateOf(key))
        }
    }
}
