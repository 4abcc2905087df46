package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.forwarding.RoutingFixture.orders
import org.hibiscusproxy.forwarding.RoutingFixture.target
import org.hibiscusproxy.protocol.FleetLoad
import org.hibiscusproxy.protocol.ServiceDemand
import org.junit.jupiter.api.Nested

/** Guards against forwarders that together send more to a target than it states to take. */
class StatedRateSimulationTest {
    /** Forwarders with uneven demand send requests to one target, which states [rate]. */
    private class Fleet(count: Int, seed: Int, private val demand: Double) {
        private val random = Random(seed)
        private val time = TestTimeSource()
        private val limited = target(1, orders, slots = 1_000)
        private val selectors = MutableList(count) { selector() }
        private val weights = List(count) { random.nextDouble().let { it * it } + 0.01 }
        private val running = mutableListOf<Triple<ComparableTimeMark, Int, PlacedAttempt>>()
        val arrivals = mutableListOf<ComparableTimeMark>()
        var rate: StatedRate = StatedRate.Unlimited

        private fun selector() = TargetSelector(2.0, time, Random(random.nextInt())).apply {
            updateRouting(RoutingFixture.services, emptySet())
            updateTargets(listOf(limited))
        }

        /** Replaces a forwarder by one that knows no rate and no load. */
        fun restart(index: Int) {
            selectors[index] = selector()
            running.removeAll { it.second == index }
        }

        private fun shareLoad() {
            val demand = selectors.map { selector -> selector.ownDemand().sumOf { it.perSecond } }
            val rates = selectors.map { it.takeChangedRates() }
            selectors.forEachIndexed { index, selector ->
                val others = ServiceDemand(orders, demand.sum() - demand[index])
                val changed = rates.filterIndexed { sender, _ -> sender != index }.flatten()
                selector.updateFleetLoad(
                    FleetLoad(selectors.size, emptyList(), emptyList(), changed, listOf(others)),
                )
            }
        }

        private fun arrive() {
            var draw = random.nextDouble() * weights.sum()
            val index = weights.indexOfFirst {
                draw -= it
                draw <= 0
            }.coerceAtLeast(0)
            val request = PlacementRequest(orders, null, 300.milliseconds, 1.seconds)
            if (selectors[index].choose(request) !is PlacementChoice.Chosen) return
            arrivals += time.markNow()
            val end = time.markNow() + random.nextInt(20, 400).milliseconds
            running += Triple(end, index, selectors[index].begin(limited.name, null))
        }

        private fun finish() = running.removeAll { (end, index, attempt) ->
            val isFinished = end.hasPassedNow()
            if (isFinished) {
                selectors[index].end(attempt, AttemptResult.ANSWERED)
                selectors[index].recordStatedRate(limited.name, rate)
            }
            isFinished
        }

        /** Plays [duration] and returns the arrivals within it. */
        fun play(duration: Duration): List<ComparableTimeMark> {
            val start = time.markNow()
            var steps = 0
            while (start.elapsedNow() < duration) {
                finish()
                if (steps % STEPS_PER_REPORT == 0) shareLoad()
                if (random.nextDouble() < demand * STEP_SECONDS) arrive()
                time += STEP
                steps += 1
            }
            return arrivals.filter { it >= start }
        }

        /** Every forwarder that has sent nothing for a while gets requests at once. */
        fun stayIdle(duration: Duration) {
            time += duration
            finish()
        }
    }

    private fun mostInWindow(arrivals: List<ComparableTimeMark>) = arrivals.maxOfOrNull { start ->
        arrivals.count { it >= start && it < start + WINDOW }
    } ?: 0

    private fun allowed(rate: Double) = (rate * WINDOW.inWholeSeconds * 1.5 + 5).toInt()

    @Nested
    inner class Forwarders {
        @Test
        fun `stay within the stated rate together whatever their number`() {
            val violations = mutableListOf<String>()
            val counts = listOf(1, 3, 8, 40, 120)
            val rates = listOf(0.3, 1.0, 6.0, 30.0)
            val cases = counts.flatMap { count -> rates.map { count to it } }
            for ((count, rate) in cases) {
                val most = (1..SEEDS).maxOf {
                    mostAt(rate, Fleet(count, it, maxOf(3 * rate, 10.0)))
                }
                if (most > allowed(rate)) violations += "$most of ${allowed(rate)}: $count at $rate"
            }
            assertEquals("", violations.joinToString("\n"))
        }

        private fun mostAt(rate: Double, fleet: Fleet): Int {
            fleet.rate = StatedRate.Limited(rate)
            fleet.play(4.seconds)
            return mostInWindow(fleet.play(12.seconds))
        }

        @Test
        fun `use most of the stated rate`() {
            val fleet = Fleet(8, seed = 1, demand = 40.0)
            fleet.rate = StatedRate.Limited(10.0)
            fleet.play(4.seconds)
            val sent = fleet.play(20.seconds).size
            assertTrue(sent >= 0.7 * 20 * 10, "$sent requests")
        }

        @Test
        fun `let a target withdraw a rate of zero`() {
            val fleet = Fleet(8, seed = 2, demand = 40.0)
            fleet.rate = StatedRate.Limited(0.0)
            fleet.play(4.seconds)
            assertTrue(mostInWindow(fleet.play(12.seconds)) <= allowed(0.0))
            fleet.rate = StatedRate.Unlimited
            fleet.play(10.seconds)
            val sent = fleet.play(4.seconds).size
            assertTrue(sent > 4 * 40 * 0.9, "$sent requests")
        }

        @Test
        fun `that were idle do not all send at once`() {
            val fleet = Fleet(40, seed = 3, demand = 100.0)
            fleet.rate = StatedRate.Limited(2.0)
            fleet.play(5.seconds)
            fleet.stayIdle(60.seconds)
            assertTrue(mostInWindow(fleet.play(6.seconds)) <= allowed(2.0))
        }

        @Test
        fun `that restart one after the other exceed the rate by little`() {
            val fleet = Fleet(8, seed = 5, demand = 60.0)
            fleet.rate = StatedRate.Limited(6.0)
            fleet.play(4.seconds)
            repeat(8) { index ->
                fleet.restart(index)
                assertTrue(mostInWindow(fleet.play(5.seconds)) <= allowed(6.0), "after $index")
            }
        }

        @Test
        fun `follow a rate that is lowered, raised and withdrawn`() {
            val fleet = Fleet(8, seed = 4, demand = 60.0)
            val sent = listOf(20.0, 2.0, 20.0).map { rate ->
                fleet.rate = StatedRate.Limited(rate)
                fleet.play(4.seconds)
                fleet.play(8.seconds).also { arrivals ->
                    assertTrue(mostInWindow(arrivals) <= allowed(rate), "at $rate")
                }.size
            }
            assertTrue(sent[0] > 5 * sent[1] && sent[2] > 5 * sent[1], "$sent")
            fleet.rate = StatedRate.Unlimited
            fleet.play(4.seconds)
            val unlimited = fleet.play(8.seconds).size
            assertTrue(unlimited > 8 * 60 * 0.9, "$unlimited requests")
        }
    }

    private companion object {
        const val SEEDS = 5
        val WINDOW = 4.seconds
        val STEP = 5.milliseconds
        const val STEP_SECONDS = 0.005
        const val STEPS_PER_REPORT = 50
    }
}
