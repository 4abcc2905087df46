package org.hibiscusproxy.daemon.forwarding

import io.micrometer.core.instrument.MeterRegistry
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.model.ServiceName

/**
 * Counts the retries that were allowed and denied at each service. They are logged in one line for
 * each service at most every [INTERVAL], and only if there were any. Used on the event loop only.
 */
internal class RetryLog(
    private val registry: MeterRegistry,
    private val log: RequestLog,
    private val time: TimeSource.WithComparableMarks,
) {
    private val counts = LinkedHashMap<ServiceName, RetryCounts>()
    private var writtenAt: ComparableTimeMark = time.markNow()

    /** Records a retry at [service], decided with [forwarders] sharing the limit. */
    fun record(service: ServiceName, isAllowed: Boolean, forwarders: Int?) {
        registry.counter(
            "forwarder.retries",
            "service",
            service.value,
            "decision",
            if (isAllowed) "allowed" else "denied",
        ).increment()
        val known = counts[service] ?: RetryCounts(allowed = 0, denied = 0, forwarders)
        counts[service] = RetryCounts(
            known.allowed + if (isAllowed) 1 else 0,
            known.denied + if (isAllowed) 0 else 1,
            forwarders,
        )
    }

    /** Writes the counts since the last lines, unless those are younger than [INTERVAL]. */
    fun writeIfDue() {
        val elapsed: Duration = writtenAt.elapsedNow()
        if (elapsed < INTERVAL) return
        writtenAt = time.markNow()
        counts.forEach { (service, decided) -> log.retriesDecided(service, decided, elapsed) }
        counts.clear()
    }

    private companion object {
        val INTERVAL = 5.seconds
    }
}

/**
 * Retries at one service.
 *
 * @property forwarders number of forwarders that shared the limit at the latest one; null if unknown
 */
internal class RetryCounts(val allowed: Int, val denied: Int, val forwarders: Int?)
