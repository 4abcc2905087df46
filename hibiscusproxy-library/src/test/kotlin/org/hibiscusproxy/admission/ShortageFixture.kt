package org.hibiscusproxy.admission

import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.forwarding.EngineCapacity

/** Simulations of a shortage, and what is required of them. */
internal object ShortageFixture {
    /** Shares of the demand by rank. */
    private val RANK_SHARES = listOf(0.3, 0.4, 0.3)
    private const val TEAMS = 4

    /** Each kind and team is served at least this often, relative to all requests. */
    const val LEAST_SHARE = 0.25

    /** A kind is not served less often than a less urgent one by more. */
    const val ORDER_BOUND = 0.05
    val SEEDS = 1..3

    private fun groups() = RANK_SHARES.flatMapIndexed { rank, share ->
        List(TEAMS) { CallerGroup(rank, "team-$rank-$it", share / TEAMS) }
    }

    private fun AdmissionSimulation.scaled(load: Double) = apply {
        groups.forEach { it.perSecond *= load * capacity }
    }

    /** Three kinds of requests with four teams each, [load] times the capacity together. */
    fun simulation(load: Double, seed: Int) = AdmissionSimulation(seed, groups()).scaled(load)

    /** The same with few requests at each of many forwarders: 100 a second are the capacity. */
    fun fewRequests(load: Double, seed: Int) = AdmissionSimulation(
        seed,
        groups(),
        forwarderCount = 30,
        slots = 2,
        queueSize = 8,
        work = 60.milliseconds,
        objective = 400.milliseconds,
    ).scaled(load)

    /** The same at engines whose batch slots are the limit. */
    fun engines(load: Double, seed: Int) = AdmissionSimulation(
        seed,
        groups(),
        targetCount = 4,
        slots = 32,
        queueSize = 64,
        work = 600.milliseconds,
        objective = 1_500.milliseconds,
        engine = EngineCapacity(32, 400_000),
    ).scaled(load)
}

internal fun AdmissionSimulation.ofRank(rank: Int) = groups.filter { it.rank == rank }

private fun AdmissionSimulation.servedByRank(): List<Double> =
    groups.map { it.rank }.distinct().sorted().map { ofRank(it).servedShare() }

internal fun AdmissionSimulation.describe(name: String): String {
    val ranks = servedByRank().joinToString { "%.3f".format(it) }
    val least = groups.minOf { listOf(it).servedShare() }
    return "$name: served %.3f, by rank $ranks, least of a team %.3f, ".format(
        groups.servedShare(),
        least,
    ) + "$overloadRefusals refused, $wrongRefusals of them wrong, $lateAnswers late, " +
        "$targetRefusals refused by targets"
}

/** Faults of the figures of the last play; the bounds are those of the requirements. */
internal fun AdmissionSimulation.faults(name: String): List<String> {
    val description = describe(name)
    println(description)
    val faults = ArrayList<String>()
    val ranks = servedByRank()
    for (less in ranks.indices) {
        for (urgent in 0 until less) {
            if (ranks[urgent] < ranks[less] - ShortageFixture.ORDER_BOUND) {
                faults += "rank $urgent is served less often than rank $less"
            }
        }
    }
    val least = groups.servedShare() * ShortageFixture.LEAST_SHARE
    (ranks + groups.map { listOf(it).servedShare() }).forEach {
        if (it < least) faults += "starved: $it"
    }
    return faults.map { "$it in $description" }
}
