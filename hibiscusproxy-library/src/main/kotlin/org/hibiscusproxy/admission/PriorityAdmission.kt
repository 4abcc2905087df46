package org.hibiscusproxy.admission

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.protocol.FleetLoad
import org.hibiscusproxy.protocol.ServicePressure

/**
 * Refuses the less urgent requests for a service that is short of room, before its targets are
 * full. Each forwarder counts the requests by rank and team and tells the others while the targets
 * are busy, so that all divide the same capacity among the same demand (see [WaterFilling]).
 * A service is short while the demand is above what its targets can do and they are busy. Not
 * thread-safe.
 */
class PriorityAdmission internal constructor(
    private val time: TimeSource.WithComparableMarks,
    private val random: Random,
) {
    private val services = HashMap<ServiceName, ServiceAdmission>()
    private val changes = ArrayList<ShortageChange>()

    /**
     * Counts a request and decides on it.
     *
     * @param objective latency objective of the request
     * @param isDecided whether the request is admitted in any case
     * @return null if it is admitted, or else the time after which it should come back
     */
    internal fun refusal(
        service: ServiceName,
        key: RequestClass,
        room: ServiceRoom,
        objective: Duration,
        isDecided: Boolean = false,
    ): Duration? {
        val now = time.markNow()
        val admission = admission(service)
        admission.observe(room, now)
        if (isDecided) return null
        admission.record(key, now)
        if (admission.admits(key, room, objective, now)) return null
        return admission.retryAfter(key)
    }

    /** Whether requests for [service] are refused by their rank. */
    internal fun isShort(service: ServiceName): Boolean = services[service]?.isShort == true

    /** Records an answer; see [ServiceThroughput.recordAnswer]. */
    internal fun recordAnswer(service: ServiceName) =
        admission(service).throughput.recordAnswer(time.markNow())

    /** Records a prompt that was sent; see [ServiceThroughput.recordPrompt]. */
    internal fun recordPrompt(service: ServiceName, uncachedTokens: Long) =
        admission(service).throughput.recordPrompt(uncachedTokens, time.markNow())

    /** Records the first part of an answer; see [ServiceThroughput.recordPrefill]. */
    internal fun recordPrefill(service: ServiceName, tokens: Long, elapsed: Duration) =
        admission(service).throughput.recordPrefill(tokens, elapsed, time.markNow())

    /** Replaces the demand at the other forwarders, as the leader reports it. */
    internal fun updateOthers(load: FleetLoad) {
        val now = time.markNow()
        val reported = load.pressure.associateBy { it.service }
        (services.keys + reported.keys).forEach {
            admission(it).updateOthers(reported[it], load.entries, now)
        }
    }

    /** Own demand for services whose room may be short, to be reported to the others. */
    fun report(): List<ServicePressure> {
        val now = time.markNow()
        return services.values.mapNotNull { it.report(now) }
    }

    /** Removes and returns the shortages that began or ended since the last call. */
    fun takeChanges(): List<ShortageChange> = changes.toList().also { changes.clear() }

    private fun admission(service: ServiceName) = services.getOrPut(service) {
        ServiceAdmission(service, random, changes::add, time.markNow())
    }
}
