package org.hibiscusproxy.admission

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.model.ServiceName
import org.junit.jupiter.api.Nested

/**
 * Guards against a shortage of room in which urgent requests are refused and less urgent ones are
 * served, in which a team takes the room of others, and against refusals without a shortage.
 */
class PriorityAdmissionTest {
    private fun assertNone(faults: List<String>) = assertEquals("", faults.joinToString("\n"))

    @Nested
    inner class Room {
        @Test
        fun `for all requests lets none be refused`() {
            val faults = listOf(0.5, 0.8).flatMap { load ->
                ShortageFixture.SEEDS.flatMap { seed ->
                    val simulation = ShortageFixture.simulation(load, seed)
                    simulation.play(10.seconds)
                    val description = simulation.describe("load $load seed $seed")
                    println(description)
                    listOf(description).filter { simulation.overloadRefusals > 0 }
                }
            }
            assertNone(faults)
        }

        /** Guards against bytes between data centres that nothing needs. */
        @Test
        fun `costs no reports of the demand`() {
            val simulation = ShortageFixture.simulation(0.5, seed = 1)
            simulation.play(5.seconds)
            assertEquals(0, simulation.pressureReports)
        }
    }

    @Nested
    inner class Refusals {
        @Test
        fun `let urgent requests come back sooner and spread the returns`() {
            val simulation = ShortageFixture.simulation(2.0, seed = 1)
            simulation.play(6.seconds)
            val means = simulation.retryAfters.toSortedMap().map { (_, times) ->
                assertTrue(times.max() > times.min() * 1.3, "${times.min()} to ${times.max()}")
                times.sumOf { it.inWholeMicroseconds } / times.size
            }
            assertEquals(means.sorted(), means)
            assertTrue(means.first() * 1.5 < means.last(), "$means")
        }

        @Test
        fun `are logged with the begin and the end of a shortage`() {
            val simulation = ShortageFixture.simulation(0.6, seed = 1)
            simulation.play(4.seconds)
            simulation.groups.forEach { it.perSecond *= 3 }
            simulation.play(4.seconds)
            simulation.groups.forEach { it.perSecond /= 6 }
            simulation.play(4.seconds)
            val began = simulation.shortages.filterIsInstance<ShortageChange.Began>()
            val ended = simulation.shortages.filterIsInstance<ShortageChange.Ended>()
            assertTrue(began.size >= 12, "${began.size} shortages")
            assertEquals(began.size, ended.size)
            assertTrue(ended.sumOf { it.refused } > 0)
        }
    }

    /** Guards against refusing what was begun, and against waste of work by that. */
    @Nested
    inner class AttemptsThatFollow {
        @Test
        fun `are admitted in a shortage`() {
            val time = TestTimeSource()
            val admission = PriorityAdmission(time, Random(1))
            val service = ServiceName("orders")
            val room = ServiceRoom(3, 3.0, emptyList(), slots = 18, running = 40, Duration.ZERO)

            fun refuse(isDecided: Boolean) = admission.refusal(
                service,
                RequestClass(2, null),
                room,
                130.milliseconds,
                isDecided,
            )
            repeat(300) {
                time += 10.milliseconds
                admission.recordAnswer(service)
                repeat(3) { refuse(isDecided = false) }
            }
            assertTrue(admission.isShort(service))
            assertTrue(List(100) { refuse(isDecided = false) }.any { it != null })
            assertTrue(List(100) { refuse(isDecided = true) }.all { it == null })
        }
    }

    @Nested
    inner class Engines {
        @Test
        fun `serve the urgent first when their slots are short`() {
            val faults = listOf(1.3, 2.0).flatMap { load ->
                ShortageFixture.SEEDS.flatMap { seed ->
                    val simulation = ShortageFixture.engines(load, seed)
                    simulation.play(6.seconds)
                    simulation.play(8.seconds)
                    simulation.faults("engines at load $load seed $seed")
                }
            }
            assertNone(faults)
        }
    }

    @Nested
    inner class Order {
        @Test
        fun `is kept at any steady load`() {
            val faults = listOf(0.5, 0.8, 1.0, 1.2, 1.5, 2.0).flatMap { load ->
                ShortageFixture.SEEDS.flatMap { seed ->
                    val simulation = ShortageFixture.simulation(load, seed)
                    simulation.play(3.seconds)
                    simulation.play(6.seconds)
                    simulation.faults("load $load seed $seed")
                }
            }
            assertNone(faults)
        }

        /** Guards against a capacity that is not known where each forwarder gets few requests. */
        @Test
        fun `is kept with few requests at each of many forwarders`() {
            val faults = listOf(1.3, 2.0).flatMap { load ->
                ShortageFixture.SEEDS.flatMap { seed ->
                    val simulation = ShortageFixture.fewRequests(load, seed)
                    simulation.play(4.seconds)
                    simulation.play(20.seconds)
                    simulation.faults("few requests at load $load seed $seed")
                }
            }
            assertNone(faults)
        }

        @Test
        fun `is kept while the least urgent kind surges`() {
            val faults = ShortageFixture.SEEDS.flatMap { seed ->
                val simulation = ShortageFixture.simulation(0.85, seed)
                simulation.play(4.seconds)
                simulation.ofRank(2).forEach { it.perSecond *= 2.5 }
                simulation.play(5.seconds)
                simulation.faults("surge of the least urgent, seed $seed")
            }
            assertNone(faults)
        }

        @Test
        fun `is kept while a third of the targets is lost`() {
            val faults = ShortageFixture.SEEDS.flatMap { seed ->
                val simulation = ShortageFixture.simulation(0.85, seed)
                simulation.play(4.seconds)
                simulation.loseTargets(1)
                simulation.play(5.seconds)
                simulation.faults("lost target, seed $seed")
            }
            assertNone(faults)
        }
    }

    @Nested
    inner class Teams {
        @Test
        fun `of the same rank keep their room while one of them surges`() {
            val faults = ShortageFixture.SEEDS.flatMap { seed ->
                val simulation = ShortageFixture.simulation(0.85, seed)
                simulation.play(4.seconds)
                val (surging, others) = simulation.ofRank(1).partition { it.team == "team-1-0" }
                surging.forEach { it.perSecond *= 6 }
                simulation.play(5.seconds)
                val most = others.maxOf { listOf(it).servedShare() }
                val least = others.minOf { listOf(it).servedShare() }
                println(
                    "surging team %.3f, others %.3f to %.3f".format(
                        surging.servedShare(),
                        least,
                        most,
                    ),
                )
                val faults = simulation.faults("surge of a team, seed $seed")
                if (least <
                    surging.servedShare() - ShortageFixture.ORDER_BOUND
                ) {
                    faults + "unfair"
                } else {
                    faults
                }
            }
            assertNone(faults)
        }
    }
}
