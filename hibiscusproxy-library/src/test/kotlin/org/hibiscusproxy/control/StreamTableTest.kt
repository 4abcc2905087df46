package org.hibiscusproxy.control

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.forwarding.ServiceVersion
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.StreamGroup
import org.junit.jupiter.api.Nested

/** Guards against versions that are forgotten while callers may take up their streams. */
class StreamTableTest {
    private var state = ControlState(ControlLimits(maximumStreams = 3))
    private var index = 0L
    private val old = ServiceVersion(ServiceName("engines"), SoftwareVersion("v1"))
    private val new = old.copy(version = SoftwareVersion("v1.1"))

    private fun run(command: ControlCommand) {
        index += 1
        state.apply(index, ControlCodec.encode(command))
    }

    private fun register(at: Duration, vararg listed: ServiceVersion) =
        run(RegisterVersions(listed.toSet(), FleetInstant.ZERO + at))

    private fun record(at: Duration, origin: ServiceVersion, vararg streams: Long) = run(
        RecordStreams(
            listOf(StreamGroup(origin, 5, streams.map(::Fingerprint))),
            FleetInstant.ZERO + at,
        ),
    )

    private fun origin(stream: Long) = state.streamOrigin(Fingerprint(stream))

    @Nested
    inner class Versions {
        @Test
        fun `stay registered until their streams can no longer be taken up`() {
            register(0.seconds, old)
            register(10.seconds, new)
            register(10.seconds + 2.minutes - 1.seconds, new)
            assertEquals(setOf(old, new), state.registeredVersions.versions)
            assertTrue(state.needsRegistration(setOf(new), FleetInstant.ZERO + 130.seconds))
            register(130.seconds, new)
            assertEquals(setOf(new), state.registeredVersions.versions)
        }

        @Test
        fun `that are listed again stay registered`() {
            register(0.seconds, old, new)
            register(10.seconds, new)
            register(20.seconds, old, new)
            register(10.minutes, old, new)
            assertEquals(setOf(old, new), state.registeredVersions.versions)
            assertFalse(state.needsRegistration(setOf(old, new), FleetInstant.ZERO + 1.minutes))
        }

        @Test
        fun `get a higher revision with each change only`() {
            register(0.seconds, old)
            register(1.seconds, old)
            assertEquals(1, state.registeredVersions.revision)
            register(2.seconds, old, new)
            assertEquals(2, state.registeredVersions.revision)
        }

        @Test
        fun `that no controller listed are registered with their streams`() {
            register(0.seconds, old)
            record(1.seconds, new, 1)
            assertEquals(setOf(old, new), state.registeredVersions.versions)
            register(2.seconds, old)
            assertEquals(setOf(old, new), state.registeredVersions.versions)
        }
    }

    @Nested
    inner class Streams {
        @Test
        fun `keep the version that was recorded first`() {
            record(0.seconds, old, 1)
            record(1.seconds, new, 1)
            assertEquals(old, origin(1))
        }

        @Test
        fun `are forgotten after their lifetime`() {
            record(0.seconds, old, 1)
            record(4.seconds, old, 2)
            record(5.seconds, old, 3)
            assertNull(origin(1))
            assertEquals(old, origin(2))
            run(Expire(FleetInstant.ZERO + 10.seconds))
            assertNull(origin(3))
            assertNull(state.nextExpiry)
        }

        @Test
        fun `beyond the limit replace the oldest`() {
            record(0.seconds, old, 1, 2, 3, 4)
            assertEquals(listOf(null, old, old, old), (1L..4).map(::origin))
        }

        @Test
        fun `and versions survive a snapshot`() {
            register(0.seconds, old, new)
            register(1.seconds, new)
            record(1.seconds, old, 1)
            val restored = ControlState().apply { restore(state.snapshot()) }
            assertEquals(old, restored.streamOrigin(Fingerprint(1)))
            assertEquals(state.registeredVersions, restored.registeredVersions)
            assertEquals(state.nextExpiry, restored.nextExpiry)
        }
    }
}
