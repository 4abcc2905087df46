package org.hibiscusproxy.forwarding

import kotlin.math.ceil
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.placement.Hashing
import org.hibiscusproxy.placement.Rendezvous
import org.hibiscusproxy.rollout.ExposureLimiter
import org.hibiscusproxy.rollout.Rollout
import org.hibiscusproxy.rollout.RolloutPhase

/**
 * What a forwarder knows of the latest [rollout] of one service, and of the targets that earlier
 * and present rollouts exclude.
 *
 * @property rolledBack versions of earlier rollouts that get no request
 * @param stopped targets that an earlier completed rollout has replaced
 */
internal class ServiceRollout(
    rollout: Rollout,
    val limiter: ExposureLimiter,
    private val rolledBack: Set<SoftwareVersion>,
    stopped: Map<TargetName, DiscoveredTarget>,
) {
    private val stopped = HashMap(stopped)
    private val known = HashMap<TargetName, DiscoveredTarget>()

    var rollout = rollout
        private set

    /** Targets of the version that get requests in the trial, the same at all forwarders. */
    var canaries: Set<TargetName> = emptySet()
        private set

    /** Whether a target of the version is listed. */
    var hasTargets = false
        private set

    /** Versions that get no request after this rollout, except the next one's [version]. */
    fun rolledBackFor(version: SoftwareVersion): Set<SoftwareVersion> {
        val own = setOfNotNull(rollout.version.takeIf { rollout.phase == RolloutPhase.ROLLED_BACK })
        return rolledBack + own - version
    }

    /** Targets that this or an earlier rollout has replaced. */
    fun stopped(): Map<TargetName, DiscoveredTarget> = stopped

    /** Applies a later phase of the same rollout. */
    fun advance(next: Rollout) {
        if (rollout.phase.isRunning && next.phase == RolloutPhase.COMPLETED) stopKnown()
        rollout = next
    }

    /** Excludes the targets of other versions that this forwarder has known. */
    private fun stopKnown() = stopped.putAll(known.filterValues { !isExposed(it) })

    /** Records the [listed] targets of the service. */
    fun updateTargets(
        listed: List<DiscoveredTarget>,
        drained: Set<DataCenterName>,
        share: Double,
    ) {
        if (rollout.phase.isRunning) listed.associateByTo(known) { it.name }
        val (exposed, others) = listed.filter { !it.isLeaving && it.dataCenter !in drained }
            .partition(::isExposed)
        hasTargets = exposed.isNotEmpty()
        val count = ceil(share * others.size).toInt().coerceAtLeast(MINIMUM_CANARIES)
        canaries = exposed.map { it.name }
            .sortedWith(compareByDescending(::score).thenBy { it.value })
            .take(count)
            .toSet()
    }

    private fun score(name: TargetName): Double =
        Rendezvous.score(Hashing.mix(rollout.number), name, weight = 1.0)

    /** Whether [target] is one of the version that the rollout introduces. */
    fun isExposed(target: DiscoveredTarget): Boolean = target.version == rollout.version

    /** Whether [target] gets no request at all. */
    fun isExcluded(target: DiscoveredTarget): Boolean = target.version in rolledBack ||
        rollout.phase == RolloutPhase.ROLLED_BACK && isExposed(target) ||
        stopped[target.name]?.isSameIncarnation(target) == true

    private companion object {
        /** With a single target, a sick one could not be told from a bad version. */
        const val MINIMUM_CANARIES = 2
    }
}
