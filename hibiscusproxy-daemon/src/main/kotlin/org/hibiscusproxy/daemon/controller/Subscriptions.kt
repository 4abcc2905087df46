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
 * Processes that follow the fleet's state. Each controller serves its own subscribers from the
 * state that it has applied, a follower possibly late; a subscriber keeps the newest version.
 * Used by the worker only.
 */
internal class Subscriptions(
    private val state: ControlState,
    private val time: TimeSource.WithComparableMarks,
) {
    private val subscribers = LinkedHashMap<PeerSession, Subscriber>()
    private var crashes: Map<Fingerprint, Duration> = emptyMap()

    fun subscribe(session: PeerSession, request: ConfigurationRequest) {
        val present = subscribers[session]
        val subscriber = present ?: Subscriber(session).also { subscribers[session] = it }
        subscriber.confirmed = maxOf(subscriber.confirmed, request.knownVersion)
        if (state.fleet.version > request.knownVersion) subscriber.push(isAsked = true)
        if (present == null && crashes.isNotEmpty()) session.send(crashList())
    }

    fun disconnected(session: PeerSession) {
        subscribers.remove(session)
    }

    /** Sends the present state to all that have not got it. */
    fun pushState() = subscribers.values.forEach { it.push(isAsked = false) }

    /** Sends the fingerprints refused at [now] if they are not the ones sent before. */
    fun pushCrashes(now: FleetInstant) {
        val refused = state.refusedFingerprints(now)
        val isNews = refused.keys != crashes.keys ||
            refused.any { (fingerprint, remaining) -> remaining > crashes.getValue(fingerprint) }
        crashes = refused
        if (isNews) subscribers.keys.forEach { it.send(crashList()) }
    }

    /**
     * Ends the connections of those that have subscribed before [limit], so that they find another
     * controller: this one hears no leader and its state may be long out of date.
     */
    fun turnAway(limit: ComparableTimeMark) {
        subscribers.values.filter { it.since < limit }.forEach { it.session.close() }
    }

    /** Processes other than sidecars that have not confirmed [version]. */
    fun unconfirmed(version: Long): List<ProcessName> = subscribers.values
        .filter { it.session.remote.target == null && it.confirmed < version }
        .map { it.session.remote.process }
        .sortedBy { it.value }

    private fun crashList(): CrashList {
        val longest = crashes.values.maxOrNull() ?: Duration.ZERO
        return CrashList(crashes.keys.toList(), longest.inWholeMilliseconds)
    }

    private inner class Subscriber(val session: PeerSession) {
        val since = time.markNow()
        var confirmed = 0L
        private var sent: FleetState? = null

        fun push(isAsked: Boolean) {
            val target = session.remote.target
            val view = if (target == null) state.fleet else slice(state.fleet, target)
            val last = sent
            if (!isAsked && view.copy(version = 0) == last?.copy(version = 0)) {
                if (view.version > last.version) session.send(ConfigurationCurrent(view.version))
            } else {
                session.send(ConfigurationUpdate(view))
            }
            sent = view
        }
    }

    companion object {
        /** What the sidecar of [target] needs: its target, service, teams and data centre. */
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
