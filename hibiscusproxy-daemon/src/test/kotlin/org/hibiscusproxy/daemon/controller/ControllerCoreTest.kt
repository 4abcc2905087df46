package org.hibiscusproxy.daemon.controller

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.control.ChangeCommand
import org.hibiscusproxy.control.ChangeIdentifier
import org.hibiscusproxy.model.OperationalState.IN
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.ClaimAcknowledgement
import org.hibiscusproxy.protocol.ClaimAnswer
import org.hibiscusproxy.protocol.ClaimCompletion
import org.hibiscusproxy.protocol.ClaimKey
import org.hibiscusproxy.protocol.ClaimOutcome
import org.hibiscusproxy.protocol.ClaimRelease
import org.hibiscusproxy.protocol.ClaimRequest
import org.hibiscusproxy.protocol.ConfigurationRequest
import org.hibiscusproxy.protocol.ConfigurationUpdate
import org.hibiscusproxy.protocol.ControlRefusal
import org.hibiscusproxy.protocol.CrashList
import org.hibiscusproxy.protocol.CrashReport
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.LeaseRefusal
import org.hibiscusproxy.protocol.LeaseRenewNow
import org.hibiscusproxy.protocol.LeaseRequest
import org.hibiscusproxy.protocol.LoadReport
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.RequestIdentifier
import org.hibiscusproxy.protocol.StoredAnswer
import org.junit.jupiter.api.Nested

/** Guards against wrong, misdirected and missing answers to messages. */
class ControllerCoreTest {
    private val leader = CoreFixture().elapse(3.seconds)
    private val t1 = TargetName("t1")

    private fun request(target: String, number: Long = 1) =
        LeaseRequest(number, TargetName(target), Incarnation(1), LoadReport(), 0)

    @Nested
    inner class Leases {
        @Test
        fun `are granted only for the target of the connection`() {
            leader.publish()
            val sidecar = leader.session("sidecar-1", "t1")

            assertIs<LeaseGrant>(leader.deliver(sidecar, request("t1")).single())
            assertEquals(
                LeaseRefusal(2, ControlRefusal.UNKNOWN_TARGET, ProcessName("c1")),
                leader.deliver(sidecar, request("t2", number = 2)).single(),
            )
        }

        @Test
        fun `are renewed at once on a change`() {
            leader.publish()
            val sidecar = leader.session("sidecar-1", "t1")
            leader.deliver(sidecar, request("t1"))
            sidecar.received.clear()
            leader.platform(1, PlatformInstance("t2", InstanceState.LEAVING))

            assertEquals(LeaseRenewNow(2), sidecar.received.single())
        }

        @Test
        fun `are refused by a replica that does not lead`() {
            val follower = CoreFixture(setOf("c2", "c3")).elapse(1.seconds)
            val answer = follower.deliver(
                follower.session("sidecar-1", "t1"),
                request("t1"),
            ).single()

            assertEquals(LeaseRefusal(1, ControlRefusal.NOT_LEADER), answer)
        }
    }

    @Nested
    inner class Claims {
        private val key = ClaimKey(TeamName("volta"), ServiceName("booking"), "k")
        private val attempt = Attempt(RequestIdentifier("r1"), 1)
        private val answer = StoredAnswer(201, emptyList(), Payload.of("booked"))
        private val entry = leader.session("entry-1")

        private fun claim(number: Long, attempt: Attempt, session: RecordingSession = entry) =
            leader.deliver(
                session,
                ClaimRequest(number, key, Fingerprint(1), attempt, 1_000),
            ).single()

        @Test
        fun `are granted, completed and answered from the stored answer`() {
            assertEquals(ClaimAnswer(1, ClaimOutcome.Granted(attempt)), claim(1, attempt))
            val completed = leader.deliver(entry, ClaimCompletion(2, key, attempt, answer)).single()
            assertEquals(ClaimAcknowledgement(2, true), completed)

            val resend = claim(1, Attempt(RequestIdentifier("r2"), 1), leader.session("entry-2"))
            assertEquals(ClaimAnswer(1, ClaimOutcome.Completed(answer)), resend)
        }

        @Test
        fun `are released for the next attempt`() {
            claim(1, attempt)
            val released = leader.deliver(entry, ClaimRelease(2, key, attempt)).single()
            assertEquals(ClaimAcknowledgement(2, true), released)

            val next = attempt.copy(number = 2)
            assertEquals(ClaimAnswer(3, ClaimOutcome.Granted(next)), claim(3, next))
        }

        @Test
        fun `have an unknown outcome once they have expired`() {
            claim(1, attempt)
            leader.elapse(1.seconds)

            val resend = claim(1, Attempt(RequestIdentifier("r2"), 1), leader.session("entry-2"))
            assertEquals(ClaimAnswer(1, ClaimOutcome.OutcomeUnknown), resend)
        }

        @Test
        fun `are not decided by a replica that does not lead`() {
            val follower = CoreFixture(setOf("c2", "c3")).elapse(1.seconds)
            val session = follower.session("entry-1")
            val completion = follower.deliver(session, ClaimCompletion(2, key, attempt, answer))

            val expected = ClaimAcknowledgement(2, false, ControlRefusal.NOT_LEADER)
            assertEquals(expected, completion.single())
        }
    }

    @Nested
    inner class SubscribersOf {
        @Test
        fun `the leader receive changes and crash lists`() {
            val entry = leader.session("entry-1")
            leader.deliver(entry, ConfigurationRequest(0))
            leader.publish()
            assertEquals(1, assertIs<ConfigurationUpdate>(entry.received.single()).state.version)

            entry.received.clear()
            leader.deliver(entry, CrashReport(t1, listOf(Fingerprint(7))))
            assertEquals(0, entry.received.size)
            leader.deliver(entry, CrashReport(TargetName("t2"), listOf(Fingerprint(7))))
            val list = assertIs<CrashList>(entry.received.single())
            assertEquals(listOf(Fingerprint(7)), list.fingerprints)
            entry.received.clear()
            leader.elapse(10.minutes)
            assertEquals<PeerMessage>(CrashList(emptyList(), 0), entry.received.single())
        }

        @Test
        fun `a controller that hears of no leader are disconnected`() {
            val isolated = CoreFixture(setOf("c2", "c3"))
            val entry = isolated.session("entry-1")
            isolated.deliver(entry, ConfigurationRequest(0))
            isolated.elapse(3.seconds)
            assertFalse(entry.isClosed)
            isolated.elapse(1.seconds)

            assertTrue(entry.isClosed)
        }
    }

    @Nested
    inner class PlatformList {
        private val leaving = PlatformInstance("t1", InstanceState.LEAVING)
        private val live = PlatformInstance("t1", InstanceState.LIVE)
        private val out get() = leader.state.fleet.targetsOut

        @Test
        fun `takes leaving instances out of service and returns them when they are live again`() {
            leader.publish()
            leader.platform(1, leaving, PlatformInstance("unknown", InstanceState.LEAVING))
            assertEquals(setOf(t1), out)
            leader.platform(2)
            assertEquals(setOf(t1), out)
            leader.platform(3, live)
            assertEquals(emptySet(), out)
            leader.platform(2, leaving)
            assertEquals(emptySet(), out)
        }

        @Test
        fun `does not undo an operator's change while the list is unchanged`() {
            leader.publish()
            leader.platform(1, leaving)
            leader.operator(
                OperatorRequest.Change(Duration.ZERO) { at ->
                    ChangeCommand.SetTargetState(ChangeIdentifier("back"), t1, IN, at)
                },
            )
            leader.platform(1, leaving)

            assertEquals(emptySet(), out)
        }
    }
}
