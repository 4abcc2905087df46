package org.hibiscusproxy.control

import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.forwarding.RegisteredVersions
import org.hibiscusproxy.forwarding.ServiceVersion
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.StreamGroup

/**
 * Versions that may have begun streams, and the streams of which the version is known. A version
 * stays registered until its streams can no longer be taken up.
 */
internal class StreamTable(private val limits: ControlLimits) {
    private val versions = LinkedHashMap<ServiceVersion, VersionRecord>()
    private val streams = LinkedHashMap<Fingerprint, StreamRecord>()
    private var lastEnd = FleetInstant.ZERO

    var registered = RegisteredVersions()
        private set

    /** Whether [register] with these arguments changes anything. */
    fun needsRegistration(listed: Set<ServiceVersion>, now: FleetInstant): Boolean =
        versions.values.any { it.isExpired(now) } ||
            versions.values.filter { it.unlistedSince == null }.map { it.version }.toSet() != listed

    fun register(listed: Set<ServiceVersion>, now: FleetInstant) {
        listed.forEach { versions[it] = VersionRecord(it, unlistedSince = null) }
        versions.replaceAll { version, record ->
            val isLeaving = version !in listed && record.unlistedSince == null
            if (isLeaving) record.copy(unlistedSince = now) else record
        }
        versions.values.removeAll { it.isExpired(now) }
        updateRegistered()
    }

    private fun updateRegistered() {
        if (versions.keys == registered.versions) return
        registered = RegisteredVersions(registered.revision + 1, versions.keys.toSet())
    }

    fun record(groups: List<StreamGroup>, now: FleetInstant) {
        dropExpired(now)
        for (group in groups) {
            // A stream may begin at a version that the leader has not seen in the list.
            versions.getOrPut(group.origin) { VersionRecord(group.origin, unlistedSince = now) }
            val lifetime = minOf(group.lifetimeSeconds.seconds, limits.streamRetention)
            val end = now + lifetime
            lastEnd = maxOf(lastEnd, end)
            group.streams.forEach { stream ->
                streams.getOrPut(stream) { StreamRecord(stream, group.origin, end) }
            }
        }
        while (streams.size > limits.maximumStreams) streams.remove(streams.keys.first())
        updateRegistered()
    }

    fun origin(stream: Fingerprint): ServiceVersion? = streams[stream]?.origin

    fun expire(now: FleetInstant) {
        streams.values.removeAll { it.end <= now }
    }

    /** Expiry of the last record: earlier ones are dropped as others are added. */
    fun nextExpiry(): FleetInstant? = lastEnd.takeIf { streams.isNotEmpty() }

    fun snapshot() = StreamSnapshot(
        registered.revision,
        versions.values.toList(),
        streams.values.toList(),
    )

    fun restore(snapshot: StreamSnapshot) {
        versions.clear()
        streams.clear()
        snapshot.versions.associateByTo(versions) { it.version }
        snapshot.streams.associateByTo(streams) { it.stream }
        lastEnd = snapshot.streams.maxOfOrNull { it.end } ?: FleetInstant.ZERO
        registered = RegisteredVersions(snapshot.revision, versions.keys.toSet())
    }

    private fun dropExpired(now: FleetInstant) {
        while (true) {
            val (stream, record) = streams.entries.firstOrNull() ?: return
            if (record.end > now) return
            streams.remove(stream)
        }
    }

    private fun VersionRecord.isExpired(now: FleetInstant): Boolean =
        unlistedSince.let { it != null && it + limits.streamRetention <= now }
}
