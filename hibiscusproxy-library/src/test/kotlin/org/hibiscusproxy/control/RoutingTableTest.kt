package org.hibiscusproxy.control

import kotlin.test.Test
import kotlin.test.assertEquals
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.protocol.Payload
import org.junit.jupiter.api.Nested

/** Guards against a late or repeated command that reverts the routing. */
class RoutingTableTest {
    private val state = ControlState()
    private var index = 0L

    private fun run(command: ControlCommand) {
        index += 1
        state.apply(index, ControlCodec.encode(command))
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
