package org.hibiscusproxy.daemon.controller

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.control.ControlCodec
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.control.FleetInstant
import org.hibiscusproxy.control.PublishRouting
import org.hibiscusproxy.control.StartRollout
import org.hibiscusproxy.forwarding.ForwardingService
import org.hibiscusproxy.forwarding.PromptPart
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.protocol.ClassDemand
import org.hibiscusproxy.protocol.EntryLoad
import org.hibiscusproxy.protocol.FleetLoad
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.RoutingChange
import org.hibiscusproxy.protocol.RoutingCurrent
import org.hibiscusproxy.protocol.RoutingRequest
import org.hibiscusproxy.protocol.RoutingUpdate
import org.hibiscusproxy.protocol.SentPrompt
import org.hibiscusproxy.protocol.ServicePressure
import org.hibiscusproxy.protocol.TargetUse
import org.hibiscusproxy.rollout.VersionEvidence
import org.junit.jupiter.api.Nested

/** Guards against lost, repeated or misdirected loads and prompts. */
class EntryFeedTest {
    private val time = TestTimeSource()
    private val state = ControlState()
    private var isLeading = true
    private val feed =
        EntryFeed(state, time, { time.markNow().takeIf { isLeading } }, { emptyList() })

    /** Records the messages sent to an entry. */
    private class Entry(name: String, incarnation: Long = 1) : PeerSession {
        override var isBacklogged = false
        override val remote =
            Hello(ProcessName(name), DataCenterName("a"), Incarnation(incarnation))
        private val received = mutableListOf<PeerMessage>()

        override fun send(message: PeerMessage) {
            received += message
        }

        override fun close() = Unit

        val loads: List<FleetLoad> get() = received.filterIsInstance<FleetLoad>()
        val prompts: List<SentPrompt> get() = loads.flatMap { it.prompts }
        val changes: List<PeerMessage>
            get() = received.filter { it is RoutingUpdate || it is RoutingChange }
        val announcements: List<RoutingCurrent> get() = received.filterIsInstance<RoutingCurrent>()
    }

    private val entries = List(3) { Entry("entry-$it") }
        .onEach { feed.subscribe(it, RoutingRequest(0)) }

    private fun prompt(number: Int) =
        SentPrompt(TargetName("engine"), listOf(PromptPart("part-$number", 1_000)))

    private fun advanceInterval() {
        time += 250.milliseconds
        feed.advance()
    }

    private fun publish(version: Long, documentBytes: Int = 0) {
        val document = Payload(ByteArray(documentBytes))
        val command = PublishRouting(RoutingConfiguration(version), document, FleetInstant(0))
        state.apply(version, ControlCodec.encode(command))
    }

    @Nested
    inner class Routing {
        @Test
        fun `of an earlier leader is announced by a new one and sent only on request`() {
            isLeading = false
            publish(1)
            feed.advance()
            isLeading = true
            feed.advance()
            assertEquals(listOf(0, 0, 0), entries.map { it.changes.size })
            assertEquals(RoutingCurrent(1, true, emptyList()), entries[0].announcements.last())
            feed.subscribe(entries[0], RoutingRequest(0))
            assertEquals(listOf(1, 0, 0), entries.map { it.changes.size })
        }

        @Test
        fun `is sent by the leader as one difference for all entries`() {
            feed.advance()
            publish(1)
            feed.advance()
            publish(2)
            feed.advance()
            assertEquals(listOf(2, 2, 2), entries.map { it.changes.size })
            assertEquals(1, entries.map { System.identityHashCode(it.changes[1]) }.toSet().size)
        }
    }

    @Nested
    inner class Rollouts {
        private val service = ServiceName("s")
        private val old = TargetName("old")

        private fun start() {
            val forwarded = ForwardingService(service, "/health", 10)
            val configuration = RoutingConfiguration(1, services = listOf(forwarded))
            val publication = PublishRouting(configuration, Payload.EMPTY, FleetInstant(0))
            state.apply(1, ControlCodec.encode(publication))
            feed.advance()
            val order = StartRollout(service, SoftwareVersion("v2"), 12_000, FleetInstant(0))
            state.apply(2, ControlCodec.encode(order))
            feed.advance()
        }

        @Test
        fun `are part of changes and of complete updates`() {
            start()
            val expected = state.routing.rollouts
            assertEquals(1, expected.size)
            assertEquals(expected, assertIs<RoutingChange>(entries[0].changes.last()).rollouts)
            feed.subscribe(entries[0], RoutingRequest(0))
            assertEquals(expected, assertIs<RoutingUpdate>(entries[0].changes.last()).rollouts)
        }

        @Test
        fun `have moved once all entries applied them and no old target has requests`() {
            fun hasMoved() = feed.hasMoved(5) { it == old }
            assertFalse(hasMoved())
            entries.forEach { feed.report(it, EntryLoad(emptyList(), revision = 5)) }
            assertTrue(hasMoved())
            feed.report(entries[0], EntryLoad(emptyList(), revision = 4))
            assertFalse(hasMoved())
            val use = TargetUse(old, 1)
            feed.report(entries[0], EntryLoad(listOf(use), revision = 5))
            assertFalse(hasMoved())
            feed.disconnected(entries[0])
            assertTrue(hasMoved())
        }

        @Test
        fun `keep the counts of a former process and ignore late reports`() {
            fun report(incarnation: Long, answers: Int) {
                val session = Entry("entry", incarnation)
                val evidence = VersionEvidence(1, "r", TargetName("new"), answers, 0)
                feed.report(session, EntryLoad(emptyList(), evidence = listOf(evidence)))
            }
            report(incarnation = 1, answers = 3)
            report(incarnation = 1, answers = 8)
            report(incarnation = 1, answers = 5)
            report(incarnation = 2, answers = 1)
            assertEquals(9, feed.evidence.evidence(1).trialTotal)
        }
    }

    @Nested
    inner class `Revisions that newer ones replaced` {
        /** Bases from which an entry gets a difference after [revisions] with such documents. */
        private fun keptBases(revisions: Long, documentBytes: Int): List<Long> {
            (1..revisions).forEach {
                publish(it, documentBytes)
                feed.advance()
            }
            return (1 until revisions).filter { base ->
                feed.subscribe(entries[0], RoutingRequest(base))
                entries[0].changes.last() is RoutingChange
            }
        }

        @Test
        fun `are kept up to a size in bytes`() =
            assertEquals(listOf(17L, 18L, 19L), keptBases(20, documentBytes = 256 * 1024))

        @Test
        fun `are kept up to a number`() =
            assertEquals((13L..19L).toList(), keptBases(20, documentBytes = 1_000))

        @Test
        fun `are replaced by a difference from the one before, however large it is`() =
            assertEquals(listOf(19L), keptBases(20, documentBytes = 4 * 1024 * 1024))

        @Test
        fun `are not queued for an entry that reads slowly`() {
            feed.advance()
            entries[0].isBacklogged = true
            (1L..200L).forEach {
                publish(it)
                feed.advance()
            }
            assertEquals(emptyList(), entries[0].changes)
            entries[0].isBacklogged = false
            feed.advance()
            assertEquals(200, assertIs<RoutingUpdate>(entries[0].changes.single()).revision)
        }
    }

    @Nested
    inner class SentPrompts {
        @Test
        fun `of one entry reach each of the others once`() {
            entries.forEach { feed.report(it, EntryLoad(emptyList())) }
            feed.report(entries[0], EntryLoad(emptyList(), listOf(prompt(1))))
            repeat(3) { advanceInterval() }
            assertEquals(
                listOf(emptyList(), listOf(prompt(1)), listOf(prompt(1))),
                entries.map { it.prompts },
            )
        }

        @Test
        fun `are spread over several messages even if the loads do not change`() {
            val sent = (1..20).map(::prompt)
            entries.forEach { feed.report(it, EntryLoad(emptyList())) }
            feed.report(entries[0], EntryLoad(emptyList(), sent))
            repeat(4) { advanceInterval() }
            assertEquals(sent, entries[1].prompts)
            assertTrue(entries[1].loads.all { it.prompts.size <= 8 })
        }
    }

    @Nested
    inner class Loads {
        @Test
        fun `of the others are summed and sent again only when they change`() {
            val target = TargetName("engine")
            time += 3.seconds
            feed.report(entries[0], EntryLoad(listOf(TargetUse(target, 2, 100))))
            feed.report(entries[1], EntryLoad(listOf(TargetUse(target, 3, 50))))
            feed.report(entries[2], EntryLoad(emptyList()))
            repeat(3) { advanceInterval() }
            val seen = entries[2].loads.single()
            assertEquals(3, seen.entries)
            assertEquals(listOf(TargetUse(target, 5, 150)), seen.uses)
        }

        @Test
        fun `that do not change are sent again every two seconds`() {
            time += 3.seconds
            repeat(24) {
                entries.forEach { feed.report(it, EntryLoad(emptyList())) }
                advanceInterval()
            }
            assertEquals(3, entries[0].loads.size)
            assertEquals(listOf(3, 3, 3), entries[0].loads.map { it.entries })
        }
    }

    /** Guards against a count that lacks entries, which would use more than their shares. */

    /** Guards against forwarders that count their own requests twice when they divide a service. */
    @Nested
    inner class DemandByRank {
        private fun pressure(perMinute: Int, isBusy: Boolean = false) = ServicePressure(
            ServiceName("orders"),
            isBusy,
            answersPerMinute = perMinute,
            prefillMilliseconds = 0,
            demand = listOf(ClassDemand(0, TeamName("a"), perMinute)),
        )

        @Test
        fun `of the others is summed by rank and team`() {
            feed.report(entries[0], EntryLoad(emptyList(), pressure = listOf(pressure(100))))
            feed.report(entries[1], EntryLoad(emptyList(), pressure = listOf(pressure(20, true))))
            feed.report(entries[2], EntryLoad(emptyList()))
            advanceInterval()
            assertEquals(listOf(pressure(20, true)), entries[0].loads.last().pressure)
            assertEquals(listOf(pressure(100)), entries[1].loads.last().pressure)
            assertEquals(listOf(pressure(120, true)), entries[2].loads.last().pressure)
        }

        @Test
        fun `ends when no other entry reports it`() {
            feed.report(entries[0], EntryLoad(emptyList(), pressure = listOf(pressure(100))))
            feed.report(entries[1], EntryLoad(emptyList()))
            advanceInterval()
            feed.report(entries[0], EntryLoad(emptyList()))
            advanceInterval()
            assertEquals(emptyList(), entries[1].loads.last().pressure)
        }
    }

    @Nested
    inner class CountOfEntries {
        private fun countTold(): Int {
            feed.report(entries[2], EntryLoad(emptyList(), listOf(prompt(1))))
            feed.report(entries[0], EntryLoad(emptyList(), listOf(prompt(2))))
            advanceInterval()
            return entries[2].loads.last().entries
        }

        @Test
        fun `is not told by a controller that started a moment ago`() {
            assertEquals(0, countTold())
            time += 2_400.milliseconds
            assertEquals(0, countTold())
            time += 1.seconds
            assertEquals(3, countTold())
        }

        @Test
        fun `has entries that report to another leader or are restarted`() {
            isLeading = false
            time += 1.minutes
            isLeading = true
            val restarted = Entry("entry-1")
            feed.disconnected(entries[1])
            assertEquals(3, countTold())
            feed.subscribe(restarted, RoutingRequest(0))
            assertEquals(3, countTold())
        }

        @Test
        fun `has entries that are cut off for minutes`() {
            time += 4.seconds
            feed.disconnected(entries[1])
            time += 5.minutes - 1.seconds
            assertEquals(3, countTold())
            time += 1.seconds
            assertEquals(2, countTold())
        }
    }
}
