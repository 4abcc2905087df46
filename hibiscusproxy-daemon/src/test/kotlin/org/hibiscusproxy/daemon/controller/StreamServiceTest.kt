package org.hibiscusproxy.daemon.controller

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.ServiceVersion
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.RoutingRequest
import org.hibiscusproxy.protocol.StreamAnswer
import org.hibiscusproxy.protocol.StreamGroup
import org.hibiscusproxy.protocol.StreamQuery
import org.hibiscusproxy.protocol.StreamsBegun
import org.hibiscusproxy.protocol.TargetList
import org.junit.jupiter.api.Nested

/** Guards against a forwarder that is told another version than the one that began a stream. */
class StreamServiceTest {
    private val fixture = CoreFixture().elapse(3.seconds)
    private val entry = fixture.session("entry-1").also { fixture.deliver(it, RoutingRequest(0)) }
    private val stream = Fingerprint(1)
    private val old = ServiceVersion(ENGINES, SoftwareVersion("v1"))
    private val new = ServiceVersion(ENGINES, SoftwareVersion("v1.1"))

    private fun list(vararg versions: ServiceVersion) = fixture.targets(versions.map(::target))

    private fun target(version: ServiceVersion) = DiscoveredTarget(
        TargetName("target-${version.version}"),
        version.service,
        NetworkAddress("10.0.0.1", 8080),
        DataCenterName("lj"),
        isLeaving = false,
        slots = 8,
        version = version.version,
    )

    private fun begin(origin: ServiceVersion) =
        fixture.deliver(entry, StreamsBegun(listOf(StreamGroup(origin, 5, listOf(stream)))))

    /** Answers within [wait] to a query for [stream]. */
    private fun answers(wait: Duration, stream: Fingerprint? = this.stream): List<StreamAnswer> {
        fixture.deliver(entry, StreamQuery(7, stream, ENGINES))
        fixture.elapse(wait)
        return entry.received.filterIsInstance<StreamAnswer>()
    }

    @Nested
    inner class Queries {
        @Test
        fun `for a stored stream are answered at once`() {
            list(old, new)
            begin(new)
            assertEquals(listOf(StreamAnswer(7, new)), answers(Duration.ZERO))
        }

        @Test
        fun `are answered with the only version that can have begun the stream`() {
            list(old)
            assertEquals(listOf(StreamAnswer(7, old)), answers(200.milliseconds))
            assertEquals(listOf(StreamAnswer(7, old)), answers(200.milliseconds, stream = null))
        }

        @Test
        fun `wait for the report of the stream`() {
            list(old, new)
            assertEquals(emptyList(), answers(60.milliseconds))
            begin(old)
            val answers = entry.received.filterIsInstance<StreamAnswer>()
            assertEquals(listOf(StreamAnswer(7, old)), answers)
        }

        @Test
        fun `are told that nobody knows if no report arrives`() {
            list(old, new)
            assertEquals(listOf(StreamAnswer(7, null)), answers(160.milliseconds))
        }

        @Test
        fun `are not answered with a version that left a moment ago`() {
            list(old, new)
            list(old)
            fixture.elapse(60.seconds)
            assertEquals(listOf(StreamAnswer(7, null)), answers(200.milliseconds))
        }

        @Test
        fun `are answered with the only version again once no stream of another is left`() {
            list(old, new)
            list(new)
            fixture.elapse(125.seconds)
            assertEquals(listOf(StreamAnswer(7, new)), answers(200.milliseconds))
        }

        @Test
        fun `get no answer before the list is read`() {
            assertEquals(emptyList(), answers(500.milliseconds))
        }

        @Test
        fun `get no answer from a controller without a majority`() {
            val alone = CoreFixture(setOf("c2", "c3")).elapse(3.seconds)
            val session = alone.session("entry-1")
            alone.deliver(session, RoutingRequest(0))
            alone.targets(listOf(target(old)))
            alone.deliver(session, StreamQuery(7, stream, ENGINES))
            alone.elapse(2.seconds)
            assertEquals(emptyList(), session.received.filterIsInstance<StreamAnswer>())
        }
    }

    @Nested
    inner class Lists {
        @Test
        fun `reach forwarders again with a version as soon as it is registered`() {
            list(old)
            list(old, new)
            fixture.elapse(20.milliseconds)
            val lists = entry.received.filterIsInstance<TargetList>()
            assertEquals(setOf(old, new), lists.last().versions.versions)
        }
    }

    private companion object {
        val ENGINES = ServiceName("engines")
    }
}
