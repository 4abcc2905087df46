package org.hibiscusproxy.consensus

import com.github.michaelbull.result.getOrThrow
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Payload
import org.junit.jupiter.api.Nested

/** Guards against wrong replies of one replica to single handcrafted messages. */
class ReplicatedLogMessageTest {
    private val time = TestTimeSource()
    private val names = listOf("a", "b", "c").map(::ProcessName)
    private val membership = Membership(
        names.withIndex().associate { (number, name) -> name to Member(number + 1L, true) },
    )

    /** Replica a has an entry of term 2 that is not committed. */
    private val storage = MemoryLogStorage(identity = 1).apply {
        saveHardState(HardState(identity = 1, cluster = CLUSTER, term = 2))
        val first = LogEntry(0, 1, EntryContent.MembershipEntry(membership))
        val command = EntryContent.Command(Payload.of("1 1 true"))
        append(listOf(first, LogEntry(2, 2, command)))
        sync()
    }

    private fun open(): ReplicatedLog {
        val settings = ReplicatedLogSettings(names[0], names)
        val machine = KeyValueMachine(HistoryChecker())
        return ReplicatedLog.open(settings, storage, machine, Random(1), time.markNow())
            .getOrThrow { StorageFailureException(it) }
    }

    private fun ReplicatedLog.receive(sender: Int, message: ConsensusMessage): List<Any> {
        receive(names[sender], message.encode(), time.markNow())
        return sent()
    }

    private fun ReplicatedLog.sent(): List<Any> = flush(time.markNow())
        .filterIsInstance<ConsensusOutput.Send>()
        .mapNotNull { ConsensusMessage.decode(it.message) }

    private fun ReplicatedLog.startElection() {
        time += 1_300.milliseconds
        tick(time.markNow())
        sent()
    }

    private fun preVote(identity: Long) = VoteReply(identity, 3, 1, true, isPreVote = true)
    private fun vote(identity: Long) = VoteReply(identity, 3, 1, true, isPreVote = false)

    private fun lead(): ReplicatedLog = open().apply {
        startElection()
        receive(1, preVote(identity = 2))
        receive(1, vote(identity = 2))
    }

    /** Guards against messages of a leader that has lost its disk and is known to have. */
    @Nested
    inner class LostLeaders {
        private val entry = LogEntry(9, 3, EntryContent.NoOperation)
        private val append =
            AppendRequest(CLUSTER, 1, 9, 1, 2, 2, 0, listOf(entry), leader = 2)

        private fun openTolerant(): ReplicatedLog {
            val settings = ReplicatedLogSettings(names[0], names, toleratedLosses = 2)
            val machine = KeyValueMachine(HistoryChecker())
            return ReplicatedLog.open(settings, storage, machine, Random(1), time.markNow())
                .getOrThrow { StorageFailureException(it) }
        }

        @Test
        fun `are followed until they are known to be lost`() {
            assertEquals(1, openTolerant().receive(1, append).size)
        }

        @Test
        fun `are ignored afterwards, also after a restart`() {
            val announcement = Announcement(22, CLUSTER, lost = listOf(2))
            val log = openTolerant().apply { receive(1, announcement) }
            listOf(log, openTolerant()).forEach {
                assertEquals(setOf(2L), it.lostIdentities)
                assertEquals(emptyList(), it.receive(1, append))
                val request = VoteRequest(CLUSTER, 1, 9, candidate = 2, 9, 9, isPreVote = false)
                assertEquals(emptyList(), it.receive(1, request))
                assertEquals(2, it.term)
            }
        }
    }

    @Nested
    inner class Votes {
        @Test
        fun `count only from the identity that the membership names`() {
            val log = open()
            log.startElection()
            log.receive(sender = 1, preVote(identity = 22))
            assertEquals(2, log.term)
            log.receive(sender = 1, preVote(identity = 2))
            assertEquals(3, log.term)

            log.receive(sender = 1, vote(identity = 22))
            assertEquals(ConsensusRole.CANDIDATE, log.role)
            log.receive(sender = 1, vote(identity = 2))
            assertEquals(ConsensusRole.LEADER, log.role)
        }

        @Test
        fun `are given once in a term, also after a crash`() {
            val request = VoteRequest(CLUSTER, 1, 9, candidate = 2, 9, 9, isPreVote = false)
            val granted = VoteReply(1, 9, 2, isGranted = true, isPreVote = false)
            val first = open()
            time += 601.milliseconds
            assertEquals(listOf<Any>(granted), first.receive(1, request))
            storage.crash(Random(1))

            val second = open()
            time += 601.milliseconds
            assertEquals(
                listOf<Any>(granted.copy(candidate = 3, isGranted = false)),
                second.receive(2, request.copy(candidate = 3)),
            )
            assertEquals(listOf<Any>(granted), second.receive(1, request))
        }

        @Test
        fun `are refused while a leader is heard, and by another identity not answered`() {
            val log = open()
            time += 700.milliseconds
            log.receive(2, AppendRequest(CLUSTER, 1, 2, 1, 2, 2, 0, emptyList()))
            val request = VoteRequest(CLUSTER, 1, 9, candidate = 2, 9, 9, isPreVote = false)
            time += 599.milliseconds
            val refusal = VoteReply(1, 2, 2, isGranted = false, isPreVote = false)
            assertEquals(listOf<Any>(refusal), log.receive(1, request))
            time += 2.milliseconds
            assertEquals(emptyList(), log.receive(1, request.copy(receiver = 11)))
            val granted = VoteReply(1, 9, 2, isGranted = true, isPreVote = false)
            assertEquals(listOf<Any>(granted), log.receive(1, request))
        }

        @Test
        fun `are refused for an election timeout after a start and to a shorter log`() {
            val log = open()
            val request = VoteRequest(CLUSTER, 1, 9, candidate = 2, 2, 2, isPreVote = true)
            val refusal = listOf<Any>(VoteReply(1, 2, 2, isGranted = false, isPreVote = true))
            assertEquals(refusal, log.receive(1, request))
            time += 601.milliseconds
            assertEquals(refusal, log.receive(1, request.copy(lastIndex = 1)))
            val granted = VoteReply(1, 9, 2, isGranted = true, isPreVote = true)
            assertEquals(listOf<Any>(granted), log.receive(1, request))
        }
    }

    @Nested
    inner class DelayedLeaders {
        /** Lets [milliseconds] pass with a tick every 20 ms. */
        private fun ReplicatedLog.run(milliseconds: Int) = repeat(milliseconds / 20) {
            time += 20.milliseconds
            tick(time.markNow())
            sent()
        }

        @Test
        fun `do not take their own delay for silence of the majority`() {
            val log = lead()
            time += 2_000.milliseconds
            log.tick(time.markNow())
            assertEquals(ConsensusRole.LEADER, log.role)
        }

        @Test
        fun `do not take a member for silent because of their own delay`() {
            val log = lead()
            log.receive(1, HeartbeatReply(3, 1, peerTag(CLUSTER, 2, 3)))
            time += 20_000.milliseconds
            log.tick(time.markNow())
            val view = assertNotNull(log.memberView(time.markNow()))
            assertEquals(time.markNow(), view.lastContact(names[1]))
        }

        @Test
        fun `step down if nobody answers for an election timeout after a delay`() {
            val log = lead()
            time += 2_000.milliseconds
            log.run(440)
            assertEquals(ConsensusRole.LEADER, log.role)
            log.run(200)
            assertEquals(ConsensusRole.FOLLOWER, log.role)
        }
    }

    @Nested
    inner class Commits {
        @Test
        fun `entries of an earlier term only together with one of its own`() {
            val log = lead()
            log.receive(1, AppendReply(2, 3, 1, previousIndex = 2, isAccepted = true, index = 2))
            assertEquals(0, log.commitIndex)

            log.receive(1, AppendReply(2, 3, 1, previousIndex = 2, isAccepted = true, index = 3))
            assertEquals(3, log.commitIndex)
            assertTrue(log.isReady)
        }

        @Test
        fun `nothing on acknowledgements of another identity`() {
            val log = lead()
            log.receive(1, AppendReply(22, 3, 1, previousIndex = 2, isAccepted = true, index = 3))

            assertEquals(0, log.commitIndex)
        }

        @Test
        fun `majority contact is the sending time of an answered heartbeat`() {
            val log = lead()
            time += 150.milliseconds
            log.tick(time.markNow())
            val sentAt = time.markNow()
            time += 100.milliseconds
            log.tick(time.markNow())
            val tag = peerTag(CLUSTER, 2, 3)
            log.receive(1, HeartbeatReply(3, 2, peerTag(CLUSTER, 22, 3)))
            assertEquals(null, log.majorityContact)
            log.receive(1, HeartbeatReply(3, 2, tag))

            assertEquals(sentAt, log.majorityContact)
        }
    }

    private companion object {
        const val CLUSTER = 77L
    }
}
