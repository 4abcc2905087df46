package org.hibiscusproxy.daemon.controller

import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.consensus.Consensus
import org.hibiscusproxy.consensus.ConsensusOutput
import org.hibiscusproxy.consensus.ConsensusRole
import org.hibiscusproxy.consensus.MembershipChange
import org.hibiscusproxy.consensus.ProposalResult
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.control.LeaseSettings
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Payload
import org.junit.jupiter.api.Nested

/** Guards against stale reads from a leader that was paused or partitioned. */
class RoutingServiceTest {
    private val time = TestTimeSource()
    private val log = FakeLog()
    private val state = ControlState()
    private val leadership = Leadership(log, state, LeaseSettings(), time).apply {
        roleChanged(ConsensusRole.LEADER, 1)
    }
    private val service =
        RoutingService(log, state, leadership, Proposals(log, time), time)

    private class FakeLog : Consensus {
        override var role = ConsensusRole.LEADER
        override val term = 1L
        override var leader: ProcessName? = ProcessName("other")
        override var majorityContact: ComparableTimeMark? = null
        override val isReady = true

        override fun receive(sender: ProcessName, message: Payload, now: ComparableTimeMark) = Unit

        override fun tick(now: ComparableTimeMark) = Unit

        override fun propose(command: Payload, now: ComparableTimeMark) =
            ProposalResult.NotLeader(leader)

        override fun changeMembership(change: MembershipChange, now: ComparableTimeMark) =
            ProposalResult.NotLeader(leader)

        override fun flush(now: ComparableTimeMark): List<ConsensusOutput> = emptyList()
    }

    private fun read() = CompletableFuture<RoutingReply>().also {
        service.handle(RoutingCall.Read, it)
        service.advance()
    }

    @Nested
    inner class Reads {
        @Test
        fun `wait for a majority that confirmed the leader after they arrived`() {
            log.majorityContact = time.markNow()
            time += 1.milliseconds
            val reply = read()
            assertFalse(reply.isDone)
            time += 1.milliseconds
            log.majorityContact = time.markNow()
            service.advance()
            assertIs<RoutingReply.Current>(reply.get())
        }

        @Test
        fun `fail when no majority confirms them in time`() {
            val reply = read()
            time += 2.seconds
            service.advance()
            assertEquals(RoutingReply.Unconfirmed, reply.get())
        }

        @Test
        fun `fail when leadership is lost`() {
            val reply = read()
            log.role = ConsensusRole.FOLLOWER
            service.advance()
            assertEquals(RoutingReply.NotLeader(ProcessName("other")), reply.get())
        }
    }
}
