package org.hibiscusproxy.daemon.controller

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.ForwardingService
import org.hibiscusproxy.forwarding.PlacementChoice
import org.hibiscusproxy.forwarding.PlacementRequest
import org.hibiscusproxy.forwarding.TargetSelector
import org.hibiscusproxy.forwarding.VersionChoice
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.StreamAnswer
import org.hibiscusproxy.protocol.StreamQuery
import org.junit.jupiter.api.Nested

/** Entries and a leader that have read the platform's list at different times. */
class OutOfStepEntryTest {
    private val time = TestTimeSource()
    private val fixture = CoreFixture(time = time).elapse(3.seconds)
    private val old = target("old", 8_001, "v1")
    private val new = target("new", 8_002, "v2")

    private fun target(name: String, port: Int, version: String) = DiscoveredTarget(
        TargetName(name),
        ENGINES,
        NetworkAddress("10.0.0.1", port),
        DataCenterName("lj"),
        isLeaving = false,
        slots = 100,
        version = SoftwareVersion(version),
    )

    /** The version at which an entry that knows [targets] begins a stream; null if at none. */
    private fun versionBegun(targets: List<DiscoveredTarget>): SoftwareVersion? {
        val selector = TargetSelector(2.0, time, Random(1)).apply {
            updateRouting(listOf(ForwardingService(ENGINES, "/health", 100)), emptySet())
            updateTargets(targets)
        }
        val registered = fixture.state.registeredVersions.of(ENGINES)
        val request = PlacementRequest(
            ENGINES,
            prompt = null,
            objective = 1.seconds,
            remaining = 5.seconds,
            versions = VersionChoice.Registered(registered),
        )
        return (selector.choose(request) as? PlacementChoice.Chosen)?.target?.version
    }

    /** The version that the leader names for a stream that has not been reported to it. */
    private fun versionNamed(): SoftwareVersion? {
        val session = fixture.session("entry")
        fixture.deliver(session, StreamQuery(1, Fingerprint(1), ENGINES))
        fixture.elapse(500.milliseconds)
        return session.received.filterIsInstance<StreamAnswer>().firstOrNull()?.origin?.version
    }

    @Nested
    inner class `A stream` {
        @Test
        fun `does not begin at a version that a leader with an older list does not know`() {
            fixture.targets(listOf(old))
            fixture.elapse(1.seconds)
            assertEquals(SoftwareVersion("v1"), versionNamed())
            assertEquals(null, versionBegun(listOf(new)), "begun while the leader names v1")
        }

        @Test
        fun `begins at the new version once it is registered`() {
            fixture.targets(listOf(old))
            fixture.elapse(1.seconds)
            fixture.targets(listOf(new))
            fixture.elapse(100.milliseconds)
            assertEquals(SoftwareVersion("v2"), versionBegun(listOf(new)))
            assertEquals(null, versionNamed())
        }

        @Test
        fun `begins at any version while none is registered`() {
            assertEquals(SoftwareVersion("v2"), versionBegun(listOf(new)))
        }
    }

    private companion object {
        val ENGINES = ServiceName("engines")
    }
}
