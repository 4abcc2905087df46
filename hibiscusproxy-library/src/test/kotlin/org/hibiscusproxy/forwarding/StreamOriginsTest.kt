package org.hibiscusproxy.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.StreamGroup
import org.junit.jupiter.api.Nested

/** Guards against streams whose version is not reported although several versions serve. */
class StreamOriginsTest {
    private val time = TestTimeSource()
    private val origins = StreamOrigins(time)
    private val old = ServiceVersion(RoutingFixture.engines, SoftwareVersion("v1"))
    private val new = old.copy(version = SoftwareVersion("v1.1"))
    private val other = ServiceVersion(RoutingFixture.orders, SoftwareVersion("v7"))

    private fun register(revision: Long, vararg versions: ServiceVersion) =
        origins.updateVersions(RegisteredVersions(revision, versions.toSet()))

    private fun reported(): Map<ServiceVersion, List<Fingerprint>> =
        origins.takeUnreported().associate { it.origin to it.streams }

    @Nested
    inner class Reports {
        @Test
        fun `leave out streams of services with one version`() {
            register(1, old, other)
            origins.record(Fingerprint(1), old, 5.seconds)
            assertFalse(origins.hasUnreported)
        }

        @Test
        fun `hold earlier streams once there is a second version`() {
            register(1, old, other)
            origins.record(Fingerprint(1), old, 5.seconds)
            origins.record(Fingerprint(2), other, 5.seconds)
            register(2, old, new, other)
            assertEquals(mapOf(old to listOf(Fingerprint(1))), reported())
            origins.record(Fingerprint(3), new, 5.seconds)
            assertEquals(mapOf(new to listOf(Fingerprint(3))), reported())
        }

        @Test
        fun `hold streams of a version that is not registered`() {
            register(1, old)
            origins.record(Fingerprint(1), new, 5.seconds)
            assertEquals(mapOf(new to listOf(Fingerprint(1))), reported())
        }

        @Test
        fun `are repeated for a new leader`() {
            register(1, old, new)
            origins.record(Fingerprint(1), old, 5.seconds)
            reported()
            origins.reportAgain()
            assertEquals(mapOf(old to listOf(Fingerprint(1))), reported())
        }

        @Test
        fun `state the remaining time in whole seconds`() {
            register(1, old, new)
            origins.record(Fingerprint(1), old, 5.seconds)
            time += 2.seconds
            val expected = listOf(StreamGroup(old, 4, listOf(Fingerprint(1))))
            assertEquals(expected, origins.takeUnreported())
        }

        @Test
        fun `follow the newest registered versions only`() {
            register(2, old, new)
            register(1, old)
            assertEquals(setOf(old.version, new.version), origins.registered(old.service))
        }
    }

    @Nested
    inner class Streams {
        @Test
        fun `are known until their lifetime ends`() {
            origins.record(Fingerprint(1), old, 5.seconds)
            time += 4.seconds
            assertEquals(old, origins.find(Fingerprint(1)))
            time += 1.seconds
            assertNull(origins.find(Fingerprint(1)))
        }

        @Test
        fun `keep the version that began them`() {
            origins.record(Fingerprint(1), old, 5.seconds)
            origins.record(Fingerprint(1), new, 5.seconds)
            assertEquals(old, origins.find(Fingerprint(1)))
        }
    }
}
