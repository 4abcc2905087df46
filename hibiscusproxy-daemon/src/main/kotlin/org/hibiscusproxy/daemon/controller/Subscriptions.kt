package org.hibiscusproxy.daemon.controller

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.control.FleetInstant
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.ConfigurationCurrent
import org.hibiscusproxy.protocol.ConfigurationRequest
import org.hibiscusproxy.protocol.ConfigurationUpdate
import org.hibiscusproxy.protocol.CrashList
import org.hibiscusproxy.protocol.Fingerprint

/**
 * Sends the fleet's state to subscribed processes. Each controller serves its own subscribers from
 * the state that it has applied, which may lag on a follower; subscribers keep the newest version.
 * Used by the worker only.
 */
internal class Subscriptions(
    private val state: ControlState,
    private val time: TimeSource.WithComparableMarks,
) {
    private val subscribers = LinkedHashMap<PeerSession, Subscriber>()
    private var crashes: Map<Fingerprint, Duration> = emptyMap()

    fun subscribe(session: PeerSession, request: ConfigurationRequest) {
        val existing = subscribers[session]
        val subscriber = existing ?: Subscriber(session).also { subscribers[session] = it }
        subscriber.confirmed = maxOf(subscriber.confirmed, request.knownVersion)
        if (state.fleet.version > request.knownVersion) subscriber.push(isRequested = true)
        if (existing == null && crashes.isNotEmpty()) session.send(crashList())
    }

    fun disconnected(session: PeerSession) {
        subscribers.remove(session)
    }

    /** Sends the current state to all subscribers that do not have it. */
    fun pushState() = subscribers.values.forEach { it.push(isRequested = false) }

    /** Sends the fingerprints refused at [now] if they differ from those sent before. */
    fun pushCrashes(now: FleetInstant) {
        val refused = state.refusedFingerprints(now)
        val hasChanged = refused.keys != crashes.keys ||
            refused.any { (fingerprint, remaining) -> remaining > crashes.getValue(fingerprint) }
        crashes = refused
        if (hasChanged) subscribers.keys.forEach { it.send(crashList()) }
    }

    /**
     * Closes the connections of processes that subscribed before [limit], so that they connect to
     * another controller. Used when this controller knows no leader, as its state may be stale.
     */
    fun closeOlderThan(limit: ComparableTimeMark) {
        subscribers.values.filter { it.subscribedAt < limit }.forEach { it.session.close() }
    }

    /** Returns the processes other than sidecars that have not confirmed [version]. */
    fun unconfirmed(version: Long): List<ProcessName> = subscribers.values
        .filter { it.session.remote.target == null && it.confirmed < version }
        .map { it.session.remote.process }
        .sortedBy { it.value }

    private fun crashList(): CrashList {
        val longest = crashes.values.maxOrNull() ?: Duration.ZERO
        return CrashList(crashes.keys.toList(), longest.inWholeMilliseconds)
    }

    private inner class Subscriber(val session: PeerSession) {
        val subscribedAt = time.markNow()
        var confirmed = 0L
        private var sent: FleetState? = null

        fun push(isRequested: Boolean) {
            val target = session.remote.target
            val view = if (target == null) state.fleet else slice(state.fleet, target)
            val last = sent
            if (!isRequested && view.copy(version = 0) == last?.copy(version = 0)) {
                if (view.version > last.version) session.send(ConfigurationCurrent(view.version))
            } else {
                session.send(ConfigurationUpdate(view))
            }
            sent = view
        }
    }

    companion object {
        /** Returns the part that the sidecar of [target] needs: target, service, teams, data centre. */
        fun slice(fleet: FleetState, target: TargetName): FleetState {
            val own = fleet.objects.targets.firstOrNull { it.name == target }
            val objects = FleetObjects(
                teams = fleet.objects.teams,
                services = fleet.objects.services.filter { it.name == own?.service },
                dataCenters = fleet.objects.dataCenters.filter { it.name == own?.dataCenter },
                targets = listOfNotNull(own),
            )
            return FleetState(
                fleet.version,
                objects,
                fleet.dataCentersOut.filterTo(LinkedHashSet()) { it == own?.dataCenter },
                fleet.targetsOut.filterTo(LinkedHashSet()) { it == target },
            )
        }
    }
}
