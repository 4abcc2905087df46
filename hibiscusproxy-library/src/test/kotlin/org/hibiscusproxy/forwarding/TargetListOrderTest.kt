package org.hibiscusproxy.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.ListTimes
import org.hibiscusproxy.protocol.TargetList
import org.junit.jupiter.api.Nested

class TargetListOrderTest {
    private val time = TestTimeSource()
    private val order = TargetListOrder(time)
    private var elapsed = Duration.ZERO

    private fun elapse(duration: Duration) {
        time += duration
        elapsed += duration
    }

    /** A controller whose clock shows [offset] more than that of the test. */
    private inner class Controller(
        name: String,
        private val offset: Duration = Duration.ZERO,
        incarnation: Long = 1,
    ) {
        private val clock = ControllerClock(ProcessName(name), Incarnation(incarnation), time)

        /** Delivers a list that was read [readAgo] and sent [sentAgo]. */
        fun deliver(readAgo: Duration, sentAgo: Duration = Duration.ZERO): ListPlacement {
            val now = elapsed + offset
            val times = ListTimes(
                (now - readAgo).inWholeMilliseconds,
                (now - sentAgo).inWholeMilliseconds,
            )
            return order.place(TargetList(emptyList(), times = times), clock)
        }

        fun deliverWithoutTimes() = order.place(TargetList(emptyList()), clock)
    }

    @Nested
    inner class `A list of another controller` {
        private val one = Controller("c1", offset = 700.seconds)
        private val other = Controller("c2", offset = 3.seconds)

        @Test
        fun `is older if its read began before`() {
            one.deliver(readAgo = 20.milliseconds)
            val placement = assertIs<ListPlacement.Older>(other.deliver(900.milliseconds))
            assertEquals(900.milliseconds, placement.age)
            assertEquals(20.milliseconds, placement.ageInUse)
        }

        @Test
        fun `is newer if its read began after`() {
            one.deliver(readAgo = 600.milliseconds)
            assertIs<ListPlacement.Newer>(other.deliver(20.milliseconds))
        }

        @Test
        fun `is not newer if both were read at the same time`() {
            one.deliver(readAgo = 50.milliseconds)
            assertIs<ListPlacement.Older>(other.deliver(20.milliseconds))
        }

        @Test
        fun `is newer though each read takes long if no other controller reads`() {
            one.deliver(readAgo = 20.milliseconds)
            repeat(5) {
                elapse(2.seconds)
                assertIs<ListPlacement.Newer>(other.deliver(1.seconds))
            }
        }

        @Test
        fun `is older if it waited while this process was stopped`() {
            one.deliver(readAgo = 10.milliseconds)
            elapse(1.seconds)
            other.deliver(readAgo = 10.milliseconds)
            elapse(10.seconds)
            one.deliver(readAgo = 510.milliseconds, sentAgo = 500.milliseconds)
            val late = other.deliver(readAgo = 8.seconds, sentAgo = 8.seconds)
            assertIs<ListPlacement.Older>(late)
        }
    }

    @Nested
    inner class `A list of the same controller` {
        private val one = Controller("c1")

        @Test
        fun `is newer by any time`() {
            one.deliver(readAgo = 10.milliseconds)
            elapse(1.milliseconds)
            assertIs<ListPlacement.Newer>(one.deliver(10.milliseconds))
        }

        @Test
        fun `is repeated if it is sent again`() {
            one.deliver(readAgo = 10.milliseconds)
            elapse(5.seconds)
            assertIs<ListPlacement.Repeated>(one.deliver(5_010.milliseconds))
        }

        @Test
        fun `is compared by its own clock over another connection`() {
            one.deliver(readAgo = 10.milliseconds)
            elapse(1.seconds)
            val late = Controller("c1").deliver(readAgo = 2.seconds, sentAgo = 2.seconds)
            assertIs<ListPlacement.Older>(late)
        }

        @Test
        fun `is compared through its arrival after a restart`() {
            one.deliver(readAgo = 10.milliseconds)
            elapse(1.seconds)
            val restarted = Controller("c1", offset = (-900).milliseconds, incarnation = 2)
            assertIs<ListPlacement.Newer>(restarted.deliver(20.milliseconds))
        }
    }

    @Nested
    inner class `A list without times` {
        @Test
        fun `counts as read when it arrives`() {
            Controller("c1").deliver(readAgo = 10.milliseconds)
            elapse(1.seconds)
            val earlierBuild = Controller("c2")
            repeat(2) { assertIs<ListPlacement.Newer>(earlierBuild.deliverWithoutTimes()) }
            assertIs<ListPlacement.Older>(Controller("c1").deliver(readAgo = 500.milliseconds))
        }
    }
}
