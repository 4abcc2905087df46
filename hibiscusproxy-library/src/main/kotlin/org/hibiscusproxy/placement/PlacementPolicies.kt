package org.hibiscusproxy.placement

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** The placement policies that settings can name. */
object PlacementPolicies {
    /** Name of the policy that is used when the settings name none. */
    const val DEFAULT = "bounded-affinity"

    private val BY_NAME: Map<String, () -> PlacementPolicy> = mapOf(
        "rendezvous" to { RendezvousPlacement() },
        "bounded-affinity" to { BoundedAffinityPlacement() },
        "two-choices-affinity" to { TwoChoicesPlacement() },
        "least-loaded" to { LeastLoadedPlacement() },
    )

    /** All names, in alphabetical order. */
    val names: List<String> = BY_NAME.keys.sorted()

    /** The policy called [name], or the failure that shows the name. */
    fun byName(name: String): Result<PlacementPolicy, UnknownPlacementPolicy> =
        BY_NAME[name]?.let { Ok(it()) } ?: Err(UnknownPlacementPolicy(name, names))
}

/** Settings name a policy that does not exist. */
data class UnknownPlacementPolicy(val name: String, val known: List<String>) {
    override fun toString(): String = "unknown placement policy: $name (known: $known)"
}
