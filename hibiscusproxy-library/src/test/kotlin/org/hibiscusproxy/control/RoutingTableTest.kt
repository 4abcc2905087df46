package org.hibiscusproxy.control

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import org.hibiscusproxy.forwarding.ForwardingService
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.rollout.RolloutPhase
import org.junit.jupiter.api.Nested

/** Guards against a late or repeated command that reverts the routing. */
class RoutingTableTest {
    private val state = ControlState()
    private var index = 0L

    private fun run(command: ControlCommand): ControlResult {
        index += 1
        return ControlCodec.decodeResult(state.apply(index, ControlCodec.encode(command)))
    }

    private fun publish(version: Long, content: String = "v$version") = run(
        PublishRouting(RoutingConfiguration(version), Payload.of(content), FleetInstant.ZERO),
    )

    private fun drain(name: String, isDrained: Boolean) =
        run(SetDrained(DataCenterName(name), isDrained, FleetInstant.ZERO))

    @Nested
    inner class Configurations {
        @Test
        fun `the highest version wins regardless of order`() {
            listOf(4L, 9L, 7L, 9L).forEach { publish(it) }
            assertEquals(9L, state.routing.configuration?.version)
            assertEquals(Payload.of("v9"), state.routing.document)
            assertEquals(2L, state.routing.revision)
        }

        @Test
        fun `different content under the current version has no effect`() {
            publish(5, "first")
            publish(5, "second")
            assertEquals(Payload.of("first"), state.routing.document)
            assertEquals(1L, state.routing.revision)
        }
    }

    @Nested
    inner class Drains {
        @Test
        fun `have no effect when repeated`() {
            drain("a", true)
            drain("a", true)
            assertEquals(setOf(DataCenterName("a")), state.routing.drained)
            assertEquals(1L, state.routing.revision)
            drain("a", false)
            assertEquals(2L, state.routing.revision)
        }

        @Test
        fun `are kept when a new configuration is published`() {
            drain("a", true)
            publish(1)
            assertEquals(setOf(DataCenterName("a")), state.routing.drained)
        }
    }

    @Nested
    inner class Rollouts {
        private val service = ServiceName("s")

        private fun order(version: String, seconds: Int, at: Int): RolloutOutcome {
            val command = StartRollout(
                service,
                SoftwareVersion(version),
                seconds * 1_000L,
                FleetInstant(at * 1_000L),
            )
            return assertIs<ControlResult.RolloutOrder>(run(command)).outcome
        }

        private fun advance(number: Long, phase: RolloutPhase) =
            run(AdvanceRollout(service, number, phase, "test", FleetInstant.ZERO))

        private val latest get() = checkNotNull(state.routing.rollout(service))

        private fun publishService() {
            val forwarded = ForwardingService(service, "/health", 10)
            val configuration = RoutingConfiguration(1, services = listOf(forwarded))
            run(PublishRouting(configuration, Payload.of("v1"), FleetInstant.ZERO))
        }

        private fun assertStarts(number: Long, outcome: RolloutOutcome) =
            assertEquals(number, assertIs<RolloutOutcome.Accepted>(outcome).rollout.number)

        @Test
        fun `need a configuration that names the service`() {
            assertEquals(RolloutOutcome.NoConfiguration, order("v2", 12, at = 0))
            publish(1)
            assertEquals(RolloutOutcome.UnknownService, order("v2", 12, at = 0))
            assertEquals(emptyList(), state.routing.rollouts)
        }

        @Test
        fun `are not started again by equal orders until the deadline`() {
            publishService()
            assertStarts(1, order("v2", 12, at = 5))
            val revision = state.routing.revision
            assertStarts(1, order("v2", 12, at = 6))
            advance(1, RolloutPhase.ROLLED_BACK)
            assertStarts(1, order("v2", 12, at = 17))
            assertEquals(revision + 1, state.routing.revision)
            assertStarts(2, order("v2", 12, at = 18))
            assertEquals(RolloutPhase.TRIAL, latest.phase)
        }

        @Test
        fun `refuse different orders while they run`() {
            publishService()
            order("v2", 12, at = 0)
            assertEquals(RolloutOutcome.Conflict(latest), order("v3", 12, at = 1))
            assertEquals(RolloutOutcome.Conflict(latest), order("v2", 13, at = 1))
            advance(1, RolloutPhase.ROLLED_BACK)
            assertStarts(2, order("v3", 12, at = 2))
        }

        @Test
        fun `of the completed version have no effect at any time`() {
            publishService()
            order("v2", 12, at = 0)
            advance(1, RolloutPhase.COMPLETED)
            assertStarts(1, order("v2", 30, at = 100))
            assertEquals(RolloutPhase.COMPLETED, latest.phase)
            assertStarts(2, order("v1", 30, at = 100))
        }

        @Test
        fun `change phase only forwards, until they end, and by their own number`() {
            publishService()
            order("v2", 12, at = 0)
            advance(1, RolloutPhase.MOVING)
            val revision = state.routing.revision
            advance(1, RolloutPhase.EXPANDING)
            advance(0, RolloutPhase.ROLLED_BACK)
            assertEquals(RolloutPhase.MOVING to revision, latest.phase to state.routing.revision)
            advance(1, RolloutPhase.COMPLETED)
            advance(1, RolloutPhase.ROLLED_BACK)
            assertEquals(RolloutPhase.COMPLETED, latest.phase)
        }

        @Test
        fun `of several services run at the same time under different numbers`() {
            val names = listOf("s", "t").map(::ServiceName)
            val services = names.map { ForwardingService(it, "/health", 10) }
            val configuration = RoutingConfiguration(1, services = services)
            run(PublishRouting(configuration, Payload.of("v1"), FleetInstant.ZERO))
            names.forEach {
                run(StartRollout(it, SoftwareVersion("v2"), 12_000, FleetInstant.ZERO))
            }
            assertEquals(listOf(1L, 2L), state.routing.rollouts.map { it.number })
        }

        @Test
        fun `are part of snapshots, and older snapshots have none`() {
            publishService()
            val before = state.snapshot()
            order("v2", 12, at = 0)
            val restored = ControlState().apply { restore(state.snapshot()) }
            assertEquals(state.routing, restored.routing)
            val older = ControlState().apply { restore(before) }
            assertEquals(emptyList(), older.routing.rollouts)
            // An older program wrote a routing state without the field.
            val encoded = String(before.bytes, Charsets.ISO_8859_1)
            assertFalse("rollouts" in encoded, "a snapshot without rollouts has the field")
        }
    }

    @Nested
    inner class Snapshots {
        @Test
        fun `contain the whole routing state`() {
            publish(3)
            drain("b", true)
            val restored = ControlState().apply { restore(state.snapshot()) }
            assertEquals(state.routing, restored.routing)
        }
    }
}
