package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.StreamGroup

/**
 * Versions that began the streams of this forwarder, as long as callers may take them up. Streams of
 * a service with several registered versions are reported to the controllers, so that other
 * forwarders learn of them; with one version there is nothing to tell. Not thread-safe.
 */
class StreamOrigins(private val time: TimeSource.WithComparableMarks) {
    private val records = LinkedHashMap<Fingerprint, Record>()
    private var unreported = LinkedHashSet<Fingerprint>()
    private var registered = RegisteredVersions()

    /** Whether streams have to be reported. */
    val hasUnreported: Boolean get() = unreported.isNotEmpty()

    /** Returns the versions of [service] at which streams may begin. */
    fun registered(service: ServiceName): Set<SoftwareVersion?> = registered.of(service)

    /** Replaces the registered versions unless [next] is older. */
    fun updateVersions(next: RegisteredVersions) {
        if (next.revision <= registered.revision) return
        val mixedBefore = mixedServices()
        registered = next
        val nowMixed = mixedServices() - mixedBefore
        if (nowMixed.isEmpty()) return
        dropExpired()
        records.filterValues { it.origin.service in nowMixed }.keys.let(unreported::addAll)
    }

    /** Records that [origin] wrote the first event of [stream]. */
    fun record(stream: Fingerprint, origin: ServiceVersion, lifetime: Duration) {
        dropExpired()
        if (stream in records) return
        if (records.size == CAPACITY_STREAMS) forget(records.keys.first())
        records[stream] = Record(origin, time.markNow() + lifetime)
        if (needsReport(origin)) unreported += stream
    }

    /** Returns what began [stream], or null if this forwarder does not know it. */
    fun find(stream: Fingerprint): ServiceVersion? =
        records[stream]?.takeIf { it.end.hasNotPassedNow() }?.origin

    /** Removes and returns streams to report, at most as many as one message holds. */
    fun takeUnreported(): List<StreamGroup> {
        val next = unreported.take(STREAMS_PER_MESSAGE)
        unreported.removeAll(next.toSet())
        return next.mapNotNull { stream -> records[stream]?.let { stream to it } }
            .groupBy({ (_, record) -> record.origin to record.remainingSeconds() }, { it.first })
            .map { (key, streams) -> StreamGroup(key.first, key.second, streams) }
    }

    /** Reports all streams of services with several versions again, because the leader changed. */
    fun reportAgain() {
        dropExpired()
        records.filterValues { needsReport(it.origin) }.keys.let(unreported::addAll)
    }

    private fun needsReport(origin: ServiceVersion): Boolean =
        origin !in registered.versions || origin.service in mixedServices()

    private fun mixedServices(): Set<ServiceName> = registered.versions
        .groupingBy { it.service }
        .eachCount()
        .filterValues { it > 1 }
        .keys

    private fun dropExpired() {
        while (true) {
            val (stream, record) = records.entries.firstOrNull() ?: return
            if (record.end.hasNotPassedNow()) return
            forget(stream)
        }
    }

    private fun forget(stream: Fingerprint) {
        records.remove(stream)
        unreported.remove(stream)
    }

    private fun Record.remainingSeconds(): Int =
        (end - time.markNow()).inWholeSeconds.toInt().coerceAtLeast(0) + 1

    private class Record(val origin: ServiceVersion, val end: ComparableTimeMark)

    private companion object {
        /** About a minute of streams at 250 a second. */
        const val CAPACITY_STREAMS = 16_384

        /** At about 10 bytes a stream, 20 KB. */
        const val STREAMS_PER_MESSAGE = 2_000
    }
}
