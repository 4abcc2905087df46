package org.hibiscusproxy.admission

import kotlin.time.Duration

/**
 * The usable targets of a service and what is in progress there, from all forwarders.
 *
 * @property targets number of targets that work at full speed
 * @property busyTargets sum of the shares of their slots that are in use, at most 1 for each
 * @property limits requests a second of each further target that takes a limited rate
 * @property slots requests that the targets at full speed can run at a time
 * @property running requests in progress at the targets at full speed
 * @property prefillWait mean time until an engine has read the prompts that it was sent
 */
internal data class ServiceRoom(
    val targets: Int,
    val busyTargets: Double,
    val limits: List<Double>,
    val slots: Int,
    val running: Int,
    val prefillWait: Duration,
) {
    /** Requests a second, if one takes a target [targetSeconds] of its whole capacity. */
    fun capacity(targetSeconds: Double): Double {
        val ofOne = 1 / targetSeconds
        return targets * ofOne + limits.sumOf { minOf(it, ofOne) }
    }
}
