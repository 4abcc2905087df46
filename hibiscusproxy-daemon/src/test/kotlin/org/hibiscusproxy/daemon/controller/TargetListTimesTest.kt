package org.hibiscusproxy.daemon.controller

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.RoutingRequest
import org.hibiscusproxy.protocol.TargetList
import org.junit.jupiter.api.Nested

/** Guards against lists of targets whose receivers cannot tell how old they are. */
class TargetListTimesTest {
    private val time = TestTimeSource()

    @Nested
    inner class `A list` {
        private val fixture = CoreFixture(time = time).elapse(3.seconds)

        private fun List<PeerMessage>.age(): Duration {
            val times = assertNotNull(filterIsInstance<TargetList>().last().times)
            return (times.sentAtMilliseconds - times.readAtMilliseconds).milliseconds
        }

        @Test
        fun `that is sent at once has no age`() {
            val session = fixture.session("entry")
            fixture.deliver(session, RoutingRequest(0))
            fixture.targets(emptyList())
            assertEquals(Duration.ZERO, session.received.age())
        }

        @Test
        fun `that a new subscriber gets states its age`() {
            fixture.targets(emptyList())
            fixture.elapse(4.seconds)
            val received = fixture.deliver(fixture.session("entry"), RoutingRequest(0))
            assertEquals(4.seconds, received.age())
        }
    }

    @Nested
    @OptIn(ExperimentalCoroutinesApi::class)
    inner class `The age of a list` {
        private inner class SlowReader : TargetReader {
            override fun read(): TargetListing {
                time += 900.milliseconds
                return TargetListing.Listed(emptyList(), unreadable = 0)
            }

            override fun close() = Unit
        }

        @Test
        fun `includes the time for which it was read`() = runTest {
            val reads = mutableListOf<ComparableTimeMark>()
            TargetDiscovery(SlowReader(), 1.seconds, time) { _, readAt -> reads += readAt }
                .start(backgroundScope)
            runCurrent()
            assertEquals(900.milliseconds, reads.single().elapsedNow())
        }
    }
}
