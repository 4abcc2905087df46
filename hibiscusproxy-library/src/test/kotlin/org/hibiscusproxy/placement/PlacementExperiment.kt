package org.hibiscusproxy.placement

import com.github.michaelbull.result.getOrThrow

/**
 * Compares the placement policies on the same recorded loads and prints one table a fleet and
 * situation. Arguments: policies to run (all when none is given).
 */
internal object PlacementExperiment {
    val SKUPAJ = ExperimentFleet("Skupaj", dataCenters = 3, oneWayMillis = 1.5)
    val VOLTA = ExperimentFleet("Volta", dataCenters = 4, oneWayMillis = 0.5)
    private const val MINUTES = 20
    private val SMALL_BURST = ExperimentLoad.Burst(4, 10, 8.0, 16.0)
    private val LARGE_BURST = ExperimentLoad.Burst(1, 10, 8.0, 16.0)

    /** Engine 5 leaves for two minutes and flaps three times; engine 2 crashes and returns. */
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

    /** A policy by its name, or bounded affinity with another group size as `group-3`. */
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
    ): ExperimentFigures {
        val burst = when (situation) {
            "burst" -> SMALL_BURST
            "large burst" -> LARGE_BURST
            else -> null
        }
        val load = ExperimentLoad(minutes, seed = 1, entries = 3, burst = burst)
        val changes = if (situation == "churn") CHURN else emptyList()
        return ExperimentRun(fleet, load, policy, changes, burst = burst).run()
    }

    @JvmStatic
    fun main(arguments: Array<String>) {
        val names = arguments.toList().ifEmpty { PlacementPolicies.names }
        for (fleet in listOf(SKUPAJ, VOLTA)) {
            for (situation in listOf("steady", "churn", "burst", "large burst")) {
                println("\n${fleet.name}, $situation\n\n${ExperimentFigures.HEADER}")
                for (name in names) println(run(policy(name), fleet, situation).row(name))
            }
        }
    }
}
