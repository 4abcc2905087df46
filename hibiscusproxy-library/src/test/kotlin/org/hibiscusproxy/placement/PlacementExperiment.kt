package org.hibiscusproxy.placement

import com.github.michaelbull.result.getOrThrow

/**
 * Compares the placement policies under the same generated loads and prints a table for each fleet
 * and situation. Arguments: names of policies (default: all) and the seed of the load as `seed-2`.
 */
internal object PlacementExperiment {
    val SKUPAJ = ExperimentFleet("Skupaj", dataCenters = 3, oneWayMillis = 1.5)
    val VOLTA = ExperimentFleet("Volta", dataCenters = 4, oneWayMillis = 0.5)
    private val SITUATIONS =
        listOf("steady", "churn", "burst", "large burst", "hot manual", "small memory")
    private const val MINUTES = 20
    private val SMALL_BURST = ExperimentLoad.Burst(4, 10, 8.0, 16.0)
    private val LARGE_BURST = ExperimentLoad.Burst(1, 10, 8.0, 16.0)

    /** Engine 5 leaves for two minutes and flaps three times; engine 2 crashes and rejoins. */
    private val CHURN = listOf(
        Change(6.0, 5, ChangeKind.LEAVE),
        Change(8.0, 5, ChangeKind.JOIN),
        Change(11.0, 5, ChangeKind.LEAVE),
        Change(11.2, 5, ChangeKind.JOIN),
        Change(11.8, 5, ChangeKind.LEAVE),
        Change(12.0, 5, ChangeKind.JOIN),
        Change(12.6, 5, ChangeKind.LEAVE),
        Change(12.8, 5, ChangeKind.JOIN),
        Change(15.0, 2, ChangeKind.CRASH),
        Change(15.5, 2, ChangeKind.JOIN),
    )

    /** Returns the policy called [name]; `group-3` is bounded affinity with a group size of 3. */
    fun policy(name: String): PlacementPolicy = name.substringAfter("group-", "").toIntOrNull()
        ?.let { BoundedAffinityPlacement(groupSize = it) }
        ?: PlacementPolicies.byName(name).getOrThrow {
            IllegalArgumentException(it.toString())
        }

    fun run(
        policy: PlacementPolicy,
        fleet: ExperimentFleet,
        situation: String,
        minutes: Int = MINUTES,
        seed: Int = 1,
    ): ExperimentFigures {
        val burst = when (situation) {
            "burst" -> SMALL_BURST
            "large burst" -> LARGE_BURST
            else -> null
        }
        val hasHotManual = situation == "hot manual"
        val load = ExperimentLoad(minutes, seed, entries = 3, burst, hasHotManual)
        val changes = if (situation == "churn") CHURN else emptyList()
        val cacheBlocks = if (situation == "small memory") 2_500 else 5_000
        return ExperimentRun(fleet, load, policy, changes, burst = burst, cacheBlocks = cacheBlocks)
            .run()
    }

    @JvmStatic
    fun main(arguments: Array<String>) {
        val (seeds, policies) = arguments.partition { it.startsWith("seed-") }
        val seed = seeds.firstOrNull()?.removePrefix("seed-")?.toInt() ?: 1
        for (fleet in listOf(SKUPAJ, VOLTA)) {
            for (situation in SITUATIONS) {
                println("\n${fleet.name}, $situation\n\n${ExperimentFigures.HEADER}")
                for (name in policies.ifEmpty { PlacementPolicies.names }) {
                    println(run(policy(name), fleet, situation, seed = seed).row(name))
                }
            }
        }
    }
}
