package org.hibiscusproxy.placement

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Registry of the placement policies that can be selected in the settings. */
object PlacementPolicies {
    /** Policy used when the settings do not select one. */
    const val DEFAULT = "bounded-affinity"

    private val BY_NAME: Map<String, () -> PlacementPolicy> = mapOf(
        "rendezvous" to { RendezvousPlacement() },
        "bounded-affinity" to { BoundedAffinityPlacement() },
        "two-choices-affinity" to { TwoChoicesPlacement() },
        "least-loaded" to { LeastLoadedPlacement() },
    )

    /** Names of all policies in alphabetical order. */
    val names: List<String> = BY_NAME.keys.sorted()

    /** Returns the policy called [name], or an error that contains the unknown name. */
    fun byName(name: String): Result<PlacementPolicy, UnknownPlacementPolicy> =
        BY_NAME[name]?.let { Ok(it()) } ?: Err(UnknownPlacementPolicy(name, names))
}

/** Error for a policy name in the settings that does not exist. */
data class UnknownPlacementPolicy(val name: String, val known: List<String>) {
    override fun toString(): String = "unknown placement policy: $name (known: $known)"
}
