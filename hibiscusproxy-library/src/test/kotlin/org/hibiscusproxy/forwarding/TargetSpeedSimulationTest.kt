package org.hibiscusproxy.forwarding

import kotlin.math.ln
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.forwarding.RoutingFixture.orders
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.protocol.FleetLoad
import org.hibiscusproxy.protocol.TargetUse
import org.junit.jupiter.api.Nested

/**
 * Guards against callers that are answered late because forwarders send requests to targets that
 * are slow at the moment or for good. Several forwarders send the load of a plain service; reports
 * are 250 to 500 ms old.
 */
class TargetSpeedSimulationTest {
    /** Kinds of targets. */
    private enum class Speeds { EQUAL, SPELLS, SPELLS_NOT_STATED, ONE_SLOWER }

    private class Target(val listed: DiscoveredTarget, val slowerForGood: Double) {
        val queue = ArrayDeque<Job>()
        val running = mutableListOf<Job>()
        var spellEnd = Duration.ZERO
        var slowness = 1.0

        fun advance(now: Duration, random: Random, hasSpells: Boolean) {
            if (!hasSpells || now < spellEnd) return
            val isSlow = slowness == 1.0
            slowness = if (isSlow) 2.5 else 1.0
            val mean = if (isSlow) 0.6.seconds else 3.4.seconds
            spellEnd = now + mean * -ln(1 - random.nextDouble())
        }
    }

    private class Job(
        val forwarder: Int,
        val attempt: PlacedAttempt,
        val arrivedAt: Duration,
        var work: Duration,
    )

    private class Result(val served: Double, val late: Int, val refused: Int, val shares: List<Int>)

    private class Fleet(seed: Int, private val speeds: Speeds, private val perSecond: Double) {
        private val random = Random(seed)
        private val time = TestTimeSource()
        private val targets = (1..3).map {
            Target(
                RoutingFixture.target(it, orders, slots = SLOTS),
                if (speeds == Speeds.ONE_SLOWER && it == 2) 1.3 else 1.0,
            )
        }
        private val selectors = List(FORWARDERS) {
            TargetSelector(
                2.0,
                time,
                Random(seed * 100 + it),
                DataCenterName("dc-${it % 3}"),
            ).apply {
                updateRouting(RoutingFixture.services, emptySet())
                updateTargets(targets.map { target -> target.listed })
            }
        }
        private var now = Duration.ZERO
        private var reports: List<List<TargetUse>> = selectors.map { emptyList() }
        private val sent = IntArray(targets.size)
        private var served = 0
        private var late = 0
        private var refused = 0
        private var isMeasuring = false

        fun play(): Result {
            val hasSpells = speeds == Speeds.SPELLS || speeds == Speeds.SPELLS_NOT_STATED
            while (now < DURATION) {
                isMeasuring = now >= WARM_UP
                if (now.inWholeMilliseconds % REPORT_MILLISECONDS == 0L) share()
                targets.forEach {
                    it.advance(now, random, hasSpells)
                    run(it)
                }
                if (random.nextDouble() < perSecond / 1_000) arrive()
                now += 1.milliseconds
                time += 1.milliseconds
            }
            val total = (served + late + refused).coerceAtLeast(1)
            return Result(served.toDouble() / total, late, refused, sent.toList())
        }

        /** Delivers the reports of the last interval and takes new ones. */
        private fun share() {
            val all = reports
            selectors.forEachIndexed { own, selector ->
                val uses = all.filterIndexed { index, _ -> index != own }.flatten()
                    .groupBy { it.target }
                    .map { (target, list) -> TargetUse(target, list.sumOf { it.running }) }
                selector.updateFleetLoad(FleetLoad(FORWARDERS, uses))
            }
            reports = selectors.map { it.ownUsage() }
        }

        private fun arrive() {
            val index = random.nextInt(FORWARDERS)
            val request = PlacementRequest(orders, null, OBJECTIVE, 2.seconds)
            val choice = selectors[index].choose(request)
            if (choice !is PlacementChoice.Chosen) {
                if (isMeasuring) refused += 1
                return
            }
            val target = targets.first { it.listed.name == choice.target.name }
            if (isMeasuring) sent[targets.indexOf(target)] += 1
            val attempt = selectors[index].begin(target.listed.name, null)
            if (target.queue.size >= QUEUE) {
                selectors[index].end(attempt, AttemptResult.INCONCLUSIVE)
                if (isMeasuring) refused += 1
                return
            }
            val work = WORK * (0.6 + 0.8 * random.nextDouble())
            target.queue += Job(index, attempt, now, work)
        }

        private fun run(target: Target) {
            while (target.running.size < SLOTS && target.queue.isNotEmpty()) {
                target.running += target.queue.removeFirst()
            }
            val step = 1.milliseconds / (target.slowness * target.slowerForGood)
            target.running.forEach { it.work -= step }
            val done = target.running.filter { !it.work.isPositive() }
            done.forEach { job -> answer(target, job) }
            target.running.removeAll(done)
        }

        private fun answer(target: Target, job: Job) {
            val stated = when (speeds) {
                Speeds.SPELLS, Speeds.EQUAL -> target.slowness
                Speeds.SPELLS_NOT_STATED, Speeds.ONE_SLOWER -> null
            }
            val statement = LoadStatement.Known(
                target.running.size,
                target.queue.size,
                SLOTS,
                stated,
            )
            selectors[job.forwarder].recordLoad(target.listed.name, statement)
            selectors[job.forwarder].recordFirstPart(job.attempt)
            selectors[job.forwarder].end(job.attempt, AttemptResult.ANSWERED)
            if (!isMeasuring) return
            if (now - job.arrivedAt <= OBJECTIVE) served += 1 else late += 1
        }
    }

    private fun play(speeds: Speeds, perSecond: Double = HALF_OF_ROOM): List<Result> =
        (1..SEEDS).map { Fleet(it, speeds, perSecond).play() }.also { results ->
            val served = results.map { it.served }.average()
            println(
                "$speeds at $perSecond/s: served in time ${"%.4f".format(served)}, " +
                    "late ${results.sumOf { it.late }}, refused ${results.sumOf { it.refused }}, " +
                    "shares ${results.first().shares}",
            )
        }

    private fun List<Result>.notServed(): Double = 1 - map { it.served }.average()

    /** At half of the room, callers expect to be served whatever the targets are. */
    @Nested
    inner class Callers {
        @Test
        fun `of targets of equal speed are served in time`() {
            assertTrue(play(Speeds.EQUAL).notServed() <= 0.01)
        }

        @Test
        fun `are served in time although one target is slower for good`() {
            val results = play(Speeds.ONE_SLOWER)
            assertTrue(results.notServed() <= 0.01, "${results.notServed()}")
            val slow = results.sumOf { it.shares[1] }.toDouble() / results.sumOf { it.shares.sum() }
            // In proportion to its speed, the slower target would get 0.28 of the requests.
            assertTrue(slow <= 0.28, "share $slow")
        }

        @Test
        fun `gain half of what they lose by slow spells if targets state them`() {
            val stated = play(Speeds.SPELLS).notServed()
            val notStated = play(Speeds.SPELLS_NOT_STATED).notServed()
            assertTrue(stated <= notStated / 2, "$stated, not stated $notStated")
        }
    }

    private companion object {
        const val FORWARDERS = 12

        /** Requests a second; 3 targets with 2 slots and 21 ms of work answer 285. */
        const val HALF_OF_ROOM = 130.0
        const val SLOTS = 2
        const val QUEUE = 24
        const val SEEDS = 5
        const val REPORT_MILLISECONDS = 250L
        val WORK = 21.milliseconds
        val OBJECTIVE = 120.milliseconds
        val WARM_UP = 30.seconds
        val DURATION = 90.seconds
    }
}
