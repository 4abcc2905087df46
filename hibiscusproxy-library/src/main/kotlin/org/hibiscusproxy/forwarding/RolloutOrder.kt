package org.hibiscusproxy.forwarding

/**
 * Targets that a request may get during a rollout.
 *
 * @property groups targets in the order in which they are tried; none of them is empty
 * @property isHeldBack whether the version of the rollout gets the request only because of its
 * limits not
 */
internal class RolloutOrder(val groups: List<List<TargetState>>, val isHeldBack: Boolean) {
    constructor(targets: List<TargetState>) : this(listOf(targets).withoutEmpty(), false)
}

internal fun List<List<TargetState>>.withoutEmpty(): List<List<TargetState>> =
    filter { it.isNotEmpty() }
