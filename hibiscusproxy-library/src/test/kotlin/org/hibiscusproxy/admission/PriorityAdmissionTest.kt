package org.hibiscusproxy.admission

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Nested

/**
 * Guards against a shortage of room in which urgent requests are refused and less urgent ones are
 * served, in which a team takes the room of others, and against refusals without a shortage.
 */
class PriorityAdmissionTest {
    /** Three kinds of requests with four teams each, [load] times the capacity together. */
    private fun simulation(load: Double, seed: Int): AdmissionSimulation {
        val groups = RANK_SHARES.flatMapIndexed { rank, share ->
            List(TEAMS) { CallerGroup(rank, "team-$rank-$it", share / TEAMS) }
        }
        return AdmissionSimulation(seed, groups).apply {
            groups.forEach { it.perSecond *= load * capacity }
        }
    }

    private fun AdmissionSimulation.ofRank(rank: Int) = groups.filter { it.rank == rank }

    private fun AdmissionSimulation.describe(name: String): String {
        val ranks = RANK_SHARES.indices.joinToString { "%.3f".format(ofRank(it).servedShare()) }
        val least = groups.minOf { listOf(it).servedShare() }
        return "$name: served %.3f, by rank $ranks, least of a team %.3f, ".format(
            groups.servedShare(),
            least,
        ) + "$overloadRefusals refused, $wrongRefusals of them wrong, $lateAnswers late, " +
            "$targetRefusals refused by targets"
    }

    /** Faults of the figures of the last play; the bounds are those of the requirements. */
    private fun AdmissionSimulation.faults(name: String): List<String> {
        val description = describe(name)
        println(description)
        val faults = ArrayList<String>()
        val ranks = RANK_SHARES.indices.map { ofRank(it).servedShare() }
        ranks.zipWithNext { urgent, less -> if (urgent < less - ORDER_BOUND) faults += "order" }
        val least = groups.servedShare() * LEAST_SHARE
        (ranks + groups.map { listOf(it).servedShare() }).forEach {
            if (it < least) faults += "starved: $it"
        }
        return faults.map { "$it in $description" }
    }

    private fun assertNone(faults: List<String>) = assertEquals("", faults.joinToString("\n"))

    @Nested
    inner class Order {
        @Test
        fun `is kept at any steady load`() {
            val faults = listOf(0.5, 0.8, 1.0, 1.2, 1.5, 2.0).flatMap { load ->
                SEEDS.flatMap { seed ->
                    val simulation = simulation(load, seed)
                    simulation.play(3.seconds)
                    simulation.play(6.seconds)
                    simulation.faults("load $load seed $seed")
                }
            }
            assertNone(faults)
        }

        @Test
        fun `is kept while the least urgent kind surges`() {
            val faults = SEEDS.flatMap { seed ->
                val simulation = simulation(0.85, seed)
                simulation.play(4.seconds)
                simulation.ofRank(2).forEach { it.perSecond *= 2.5 }
                simulation.play(5.seconds)
                simulation.faults("surge of the least urgent, seed $seed")
            }
            assertNone(faults)
        }

        @Test
        fun `is kept while a third of the targets is lost`() {
            val faults = SEEDS.flatMap { seed ->
                val simulation = simulation(0.85, seed)
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
            val faults = SEEDS.flatMap { seed ->
                val simulation = simulation(0.85, seed)
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
                if (least < surging.servedShare() - ORDER_BOUND) faults + "unfair" else faults
            }
            assertNone(faults)
        }
    }

    private companion object {
        /** Shares of the demand by rank. */
        val RANK_SHARES = listOf(0.3, 0.4, 0.3)
        const val TEAMS = 4
        val SEEDS = 1..3

        /** A kind is not served less often than a less urgent one by more. */
        const val ORDER_BOUND = 0.05

        /** Each kind and team is served at least this often, relative to all requests. */
        const val LEAST_SHARE = 0.25
    }
}
