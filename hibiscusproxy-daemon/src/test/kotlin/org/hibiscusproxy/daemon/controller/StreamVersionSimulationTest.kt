package org.hibiscusproxy.daemon.controller

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.ForwardingService
import org.hibiscusproxy.forwarding.PlacementChoice
import org.hibiscusproxy.forwarding.PlacementRequest
import org.hibiscusproxy.forwarding.ServiceVersion
import org.hibiscusproxy.forwarding.StreamOrigins
import org.hibiscusproxy.forwarding.TargetSelector
import org.hibiscusproxy.forwarding.VersionChoice
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.RoutingRequest
import org.hibiscusproxy.protocol.StreamAnswer
import org.hibiscusproxy.protocol.StreamQuery
import org.hibiscusproxy.protocol.StreamsBegun
import org.hibiscusproxy.protocol.TargetList
import org.junit.jupiter.api.Nested

/**
 * Forwarders, with lists and reports that are late or lost, begin streams and take up those of
 * others while targets of several versions come and go and forwarders lose their memory, alone or
 * all at once. Every version that a forwarder is told is compared with the one that began the stream.
 */
class StreamVersionSimulationTest {
    private class Run(seed: Int) {
        private val random = Random(seed)
        private val time = TestTimeSource()
        private val fixture = CoreFixture(time = time).elapse(3.seconds)
        private val entries = MutableList(ENTRIES) { Entry(it, 1) }
        private val streams = ArrayList<Stream>()
        private val listed = LinkedHashMap<TargetName, DiscoveredTarget>()
        private var targetNumber = 0
        val faults = ArrayList<String>()
        var taken = 0
        var known = 0

        private inner class Stream(
            val fingerprint: Fingerprint,
            val origin: ServiceVersion,
            val end: ComparableTimeMark,
        )

        private inner class Entry(private val number: Int, private val incarnation: Long) {
            private val session = fixture.session("entry-$number", incarnation = incarnation)
            private val origins = StreamOrigins(time)
            private val selector = TargetSelector(2.0, time, random).apply {
                updateRouting(listOf(ForwardingService(ENGINES, "/health", 100)), emptySet())
            }
            private val lists = ArrayDeque<Pair<ComparableTimeMark, TargetList>>()
            private val reports = ArrayDeque<Pair<ComparableTimeMark, StreamsBegun>>()

            init {
                fixture.deliver(session, RoutingRequest(0))
            }

            fun restarted() = Entry(number, incarnation + 1)

            fun advance() {
                session.received.filterIsInstance<TargetList>().forEach {
                    lists +=
                        time.markNow() + random.nextInt(MAXIMUM_DELAY_MILLISECONDS).milliseconds to
                        it
                }
                session.received.clear()
                // Another controller may have read the platform's list more recently.
                if (random.nextInt(STEPS_PER_READ) == 0) {
                    val list = TargetList(listed.values.toList(), fixture.state.registeredVersions)
                    lists += time.markNow() to list
                }
                while (lists.firstOrNull()?.first?.hasPassedNow() == true) {
                    val list = lists.removeFirst().second
                    origins.updateVersions(list.versions)
                    selector.updateTargets(list.targets)
                }
                if (origins.hasUnreported) {
                    reports +=
                        time.markNow() + 10.milliseconds to StreamsBegun(origins.takeUnreported())
                }
                while (reports.firstOrNull()?.first?.hasPassedNow() == true) {
                    val report = reports.removeFirst().second
                    if (random.nextInt(100) < LOST_REPORTS_PERCENT) {
                        origins.reportAgain()
                    } else {
                        send(report)
                    }
                }
            }

            private fun send(report: StreamsBegun) {
                val kept = session.received.toList()
                session.received.addAll(0, kept + fixture.deliver(session, report))
            }

            fun begin() {
                val choice = selector.choose(
                    PlacementRequest(
                        ENGINES,
                        prompt = null,
                        objective = 1.seconds,
                        remaining = 5.seconds,
                        versions = VersionChoice.Registered(origins.registered(ENGINES)),
                    ),
                )
                val target = (choice as? PlacementChoice.Chosen)?.target ?: return
                // The target may have been replaced since the list was read.
                if (target.name !in listed) return
                val origin = ServiceVersion(ENGINES, target.version)
                val stream = Stream(
                    Fingerprint(streams.size + 1L),
                    origin,
                    time.markNow() + LIFETIME,
                )
                streams += stream
                origins.record(stream.fingerprint, origin, LIFETIME)
            }

            fun takeUp(stream: Stream) {
                taken += 1
                val own = origins.find(stream.fingerprint)
                val answer = own ?: ask(stream) ?: return
                known += 1
                if (answer != stream.origin) {
                    faults += "${stream.origin.version} goes on at ${answer.version}"
                }
            }

            private fun ask(stream: Stream): ServiceVersion? {
                val kept = session.received.toList()
                fixture.deliver(session, StreamQuery(1, stream.fingerprint, ENGINES))
                fixture.elapse(200.milliseconds)
                val answer = session.received.filterIsInstance<StreamAnswer>().firstOrNull()
                session.received.addAll(0, kept)
                return answer?.origin
            }
        }

        private fun changeTargets() {
            val version = SoftwareVersion("v${random.nextInt(VERSIONS)}")
            if (listed.size > 1 && random.nextBoolean()) {
                listed.remove(listed.keys.random(random))
            }
            if (listed.size < TARGETS) {
                targetNumber += 1
                val target = DiscoveredTarget(
                    TargetName("target-$targetNumber"),
                    ENGINES,
                    NetworkAddress("10.0.0.1", 8000 + targetNumber),
                    DataCenterName("lj"),
                    isLeaving = false,
                    slots = 100,
                    version = version,
                )
                listed[target.name] = target
            }
        }

        private fun restart(numbers: Iterable<Int>) =
            numbers.forEach { entries[it] = entries[it].restarted() }

        fun play(): Run {
            changeTargets()
            repeat(STEPS) { step ->
                if (random.nextInt(150) == 0) changeTargets()
                // The controllers read the list some time after it changes.
                if (step % STEPS_PER_READ == 0) fixture.targets(listed.values.toList())
                fixture.elapse(20.milliseconds)
                entries.forEach { it.advance() }
                entries.random(random).begin()
                if (random.nextInt(200) == 0) restart(listOf(random.nextInt(ENTRIES)))
                if (random.nextInt(400) == 0) restart(entries.indices)
                if (random.nextInt(5) == 0) {
                    val open = streams.takeLast(RECENT_STREAMS).filter { it.end.hasNotPassedNow() }
                    if (open.isNotEmpty()) entries.random(random).takeUp(open.random(random))
                }
            }
            return this
        }
    }

    @Nested
    inner class `Streams that are taken up` {
        @Test
        fun `never go on at another version than the one that began them`() {
            val seeds = 1..System.getProperty("streams.seeds", "100").toInt()
            val runs = seeds.associateWith { Run(it).play() }
            val faults = runs.filterValues { it.faults.isNotEmpty() }.mapValues { it.value.faults }
            assertEquals(emptyMap(), faults, "faults by seed")
            val share = runs.values.sumOf { it.known }.toDouble() / runs.values.sumOf { it.taken }
            println("${runs.values.sumOf { it.taken }} taken up, share that goes on $share")
            assertTrue(share > 0.5, "only $share of the streams go on")
        }
    }

    private companion object {
        val ENGINES = ServiceName("engines")
        val LIFETIME = 5.seconds
        const val ENTRIES = 5
        const val TARGETS = 6
        const val VERSIONS = 3
        const val STEPS = 1_500
        const val STEPS_PER_READ = 50
        const val RECENT_STREAMS = 200
        const val MAXIMUM_DELAY_MILLISECONDS = 1_500
        const val LOST_REPORTS_PERCENT = 10
    }
}
