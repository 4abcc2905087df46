package org.hibiscusproxy.control

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.control.ControlFixture.change
import org.hibiscusproxy.control.ControlFixture.dataCenter
import org.hibiscusproxy.control.ControlFixture.lj
import org.hibiscusproxy.control.ControlFixture.mb
import org.hibiscusproxy.control.ControlFixture.objects
import org.hibiscusproxy.control.ControlFixture.publish
import org.hibiscusproxy.control.ControlFixture.run
import org.hibiscusproxy.control.ControlFixture.target
import org.hibiscusproxy.model.OperationalState.OUT
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.ControlRefusal
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.LeaseRequest
import org.hibiscusproxy.protocol.LoadReport
import org.hibiscusproxy.protocol.PoolLoad
import org.junit.jupiter.api.Nested

/** Guards against leases that stay valid longer than the leader reports. */
class LeaseGranterTest {
    private val time = TestTimeSource()
    private val settings = LeaseSettings()
    private val state = ControlState()
    private var granter = LeaseGranter(settings, time.markNow())

    private fun publishAndExpireEarlierLeases() {
        state.change(publish("a", basedOn = 0))
        time += settings.earlierLeases
    }

    private fun requestLease(
        target: String,
        incarnation: Long = 1,
        knownVersion: Long = 0,
        running: Int = 0,
        limit: Int = 16,
        contact: ComparableTimeMark? = time.markNow(),
    ): LeaseDecision {
        val load = LoadReport(running, limit = limit)
        val name = TargetName(target)
        val request = LeaseRequest(1, name, Incarnation(incarnation), load, knownVersion)
        return granter.request(request, state, contact, time.markNow())
    }

    private fun allocate(target: String, incarnation: Long = 1) {
        val name = TargetName(target)
        state.run(AllocateFencingNumber(name, Incarnation(incarnation), FleetInstant.ZERO))
    }

    private fun granted(
        target: String,
        knownVersion: Long = 0,
        running: Int = 0,
        limit: Int = 16,
    ): LeaseGrant {
        allocate(target)
        val decision =
            requestLease(target, knownVersion = knownVersion, running = running, limit = limit)
        return assertIs<LeaseDecision.Granted>(decision).grant
    }

    private fun unconfirmed(version: Long): Map<String, Duration> =
        granter.progress(version, state, time.markNow()).unconfirmed
            .associate { it.target.value to -it.until.elapsedNow() }

    private fun refused(reason: ControlRefusal) = LeaseDecision.Refused(reason)

    @Nested
    inner class Granting {
        @Test
        fun `includes version, state and fencing number`() {
            publishAndExpireEarlierLeases()
            state.change(dataCenter("b", lj, OUT))

            val expected =
                LeaseGrant(1, TargetName("t1"), 2, OUT, 1, 3_000, PoolLoad(0, 0))
            assertEquals(expected, granted("t1"))
        }

        @Test
        fun `without a majority stops before another leader can be elected`() {
            publishAndExpireEarlierLeases()
            allocate("t1")
            val contact = time.markNow()
            time += 594.milliseconds
            assertIs<LeaseDecision.Granted>(requestLease("t1", contact = contact))
            time += 1.milliseconds

            assertEquals(refused(ControlRefusal.NO_MAJORITY), requestLease("t1", contact = contact))
            assertEquals(refused(ControlRefusal.NO_MAJORITY), requestLease("t1", contact = null))
        }

        @Test
        fun `is refused for targets that are not published`() {
            publishAndExpireEarlierLeases()

            assertEquals(refused(ControlRefusal.UNKNOWN_TARGET), requestLease("t9"))
        }
    }

    @Nested
    inner class Incarnations {
        @Test
        fun `get a first lease immediately`() {
            state.change(publish("a", basedOn = 0))

            assertEquals(LeaseDecision.NeedsFencingNumber, requestLease("t1"))
            granted("t1")
        }

        @Test
        fun `wait until the lease of the earlier incarnation has expired`() {
            publishAndExpireEarlierLeases()
            granted("t1")
            time += 3.seconds
            assertEquals(
                refused(ControlRefusal.OTHER_INCARNATION),
                requestLease("t1", incarnation = 2),
            )
            assertEquals(
                refused(ControlRefusal.OTHER_INCARNATION),
                requestLease("t1", incarnation = 1),
            )
            time += 30.milliseconds

            assertEquals(LeaseDecision.NeedsFencingNumber, requestLease("t1", incarnation = 2))
        }

        @Test
        fun `wait for leases of an earlier leader`() {
            state.change(publish("a", basedOn = 0))
            allocate("t1")

            assertEquals(
                refused(ControlRefusal.OTHER_INCARNATION),
                requestLease("t1", incarnation = 2),
            )
            assertEquals(LeaseDecision.NeedsFencingNumber, requestLease("t2"))
        }

        @Test
        fun `do not wait if the engine checks the fencing number`() {
            val checking = objects.targets.map { it.copy(checksFencing = true) }
            state.change(publish("a", 0, objects.copy(targets = checking)))
            granted("t1")

            assertEquals(LeaseDecision.NeedsFencingNumber, requestLease("t1", incarnation = 2))
        }
    }

    @Nested
    inner class Progress {
        @Test
        fun `lists unconfirmed targets until their lease has expired`() {
            publishAndExpireEarlierLeases()
            listOf("t1", "t2").forEach { granted(it) }
            time += 1.seconds
            granted("t3")
            state.change(dataCenter("b", lj, OUT))

            val latest = mapOf("t1" to 2_030, "t2" to 2_030, "t3" to 3_030)
            assertEquals(latest.mapValues { it.value.milliseconds }, unconfirmed(2))
            granter.acknowledge(TargetName("t1"), Incarnation(1), 2, time.markNow())
            granted("t2")
            granted("t3", knownVersion = 2)
            assertEquals(mapOf("t2" to 2_030.milliseconds), unconfirmed(2))
            time += 2_030.milliseconds
            assertTrue(granter.progress(2, state, time.markNow()).isInForce)
        }

        @Test
        fun `on a new leader waits for every unconfirmed target`() {
            state.change(publish("a", basedOn = 0))
            val end = settings.earlierLeases

            assertEquals(mapOf("t1" to end, "t2" to end, "t3" to end), unconfirmed(1))
            granted("t1", knownVersion = 1)
            assertEquals(mapOf("t2" to end, "t3" to end), unconfirmed(1))
            time += end
            assertEquals(emptyMap(), unconfirmed(1))
        }

        @Test
        fun `on a new leader waits for targets that are no longer published`() {
            state.change(publish("a", basedOn = 0))
            state.change(publish("b", 1, objects.copy(targets = listOf(target(3, mb)))))
            granted("t3", knownVersion = 2)

            assertFalse(granter.progress(2, state, time.markNow()).isInForce)
            time += settings.earlierLeases
            assertTrue(granter.progress(2, state, time.markNow()).isInForce)
        }
    }

    @Nested
    inner class PoolLoadOfService {
        @Test
        fun `keeps the last report of a silent target until its lease has expired`() {
            publishAndExpireEarlierLeases()
            granted("t1", running = 4)
            time += 3.seconds
            assertEquals(PoolLoad(6, 2), granted("t2", running = 2).pool)
            time += 30.milliseconds

            assertEquals(PoolLoad(5, 2), granted("t3", running = 3).pool)
        }

        /** Otherwise the first target to renew at a new leader has no load bound. */
        @Test
        fun `counts targets without a report as idle while earlier leases may be valid`() {
            state.change(publish("a", basedOn = 0))
            assertEquals(PoolLoad(4, 3), granted("t1", running = 4).pool)
            time += settings.earlierLeases

            assertEquals(PoolLoad(5, 1), granted("t1", running = 5).pool)
        }

        /** Otherwise dead engines lower the mean and thereby the load bound of the others. */
        @Test
        fun `leaves out unreachable targets`() {
            publishAndExpireEarlierLeases()
            granted("t1", running = 0, limit = 0)
            time += 30.milliseconds

            assertEquals(PoolLoad(3, 1), granted("t3", running = 3).pool)
        }

        @Test
        fun `leaves out targets that take no new work`() {
            publishAndExpireEarlierLeases()
            granted("t1", running = 4)
            state.change(dataCenter("b", lj, OUT))

            assertEquals(PoolLoad(3, 1), granted("t3", running = 3).pool)
        }
    }
}
