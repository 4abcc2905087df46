package org.hibiscusproxy.daemon.entry

import io.micrometer.core.instrument.Counter
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import org.hibiscusproxy.daemon.transport.PeerTransport
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.placement.LoadTable
import org.hibiscusproxy.placement.PlacementCandidate
import org.hibiscusproxy.placement.PlacementPolicy
import org.hibiscusproxy.placement.PrefixKey
import org.hibiscusproxy.placement.PreviousTargets
import org.hibiscusproxy.placement.RoutedRequest
import org.hibiscusproxy.placement.TargetFilter

/** The fleet's state at one version, and what the entry derives from it. */
internal class FleetSnapshot(val state: FleetState, dataCenter: DataCenterName) {
    val reader: RequestReader = RequestReader(state)
    val filter: TargetFilter = TargetFilter(state, dataCenter)
}

/**
 * The newest fleet state received by the entry, and its links to sidecars.
 *
 * The view's monitor is held while a newer state replaces the current one; the monitor of
 * [previousTargets] is acquired while it is held. Links are in a concurrent map by target name; the
 * link of a target that moved to another address is replaced.
 */
internal class FleetView(
    private val dataCenter: DataCenterName,
    private val transport: PeerTransport,
    private val loads: LoadTable,
    private val scope: CoroutineScope,
    private val dropped: Counter,
) : AutoCloseable {
    private class Link(val target: Target, val sidecar: SidecarLink)

    private val links = ConcurrentHashMap<TargetName, Link>()
    private val previousTargets = PreviousTargets(TimeSource.Monotonic)

    /** The newest snapshot, or null before the first one. */
    @Volatile
    var current: FleetSnapshot? = null
        private set

    /** Version of the newest state; 0 before the first one. */
    val version: Long get() = current?.state?.version ?: 0

    /** Replaces the current state if [state] is newer. Returns whether it is. */
    @Synchronized
    fun update(state: FleetState): Boolean {
        if (current != null && state.version <= version) return false
        val previous = current
        if (previous != null && previous.state.differsInMembers(state)) {
            synchronized(previousTargets) { previousTargets.recordChange(previous.filter) }
        }
        current = FleetSnapshot(state, dataCenter)
        val present = state.objects.targets.map { it.name }.toSet()
        loads.retain(present)
        return true
    }

    /**
     * Target that may have the chat cached, because it was the chat's preferred target before the
     * latest membership change, or null.
     */
    fun previousTarget(
        request: RoutedRequest,
        key: PrefixKey,
        policy: PlacementPolicy,
        candidates: List<PlacementCandidate>,
    ): TargetName? = synchronized(previousTargets) {
        previousTargets.find(request, key, policy, candidates)
    }

    private fun FleetState.differsInMembers(other: FleetState): Boolean =
        objects.targets != other.objects.targets ||
            dataCentersOut != other.dataCentersOut ||
            targetsOut != other.targetsOut

    /** Link to the sidecar of [target]. */
    fun linkTo(target: Target): SidecarLink = links.compute(target.name) { _, present ->
        present?.takeIf { it.target.sidecar == target.sidecar }
            ?: Link(target, SidecarLink(target, transport, loads, scope, dropped))
    }!!.sidecar

    override fun close() {
        links.values.forEach { it.sidecar.close() }
    }
}
