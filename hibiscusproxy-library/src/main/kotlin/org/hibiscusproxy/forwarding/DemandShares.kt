package org.hibiscusproxy.forwarding

import kotlin.time.TimeSource
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.protocol.ServiceDemand

/**
 * This forwarder's share of the requests for each service, by which forwarders divide a rate that a
 * target states for all of them. Their shares add up to 1.
 */
internal class DemandShares(private val time: TimeSource.WithComparableMarks) {
    private val meters = HashMap<ServiceName, DemandMeter>()
    private var others: Map<ServiceName, Double>? = null

    /** Records a request of this forwarder for [service]. */
    fun record(service: ServiceName) = meter(service).record(time.markNow())

    /** Requests of this forwarder for [service]. */
    fun own(service: ServiceName) = ServiceDemand(service, perSecond(service))

    /** Replaces the sum of the demand of all other forwarders. */
    fun updateOthers(demand: List<ServiceDemand>) {
        others = demand.associate { it.service to it.perSecond }
    }

    /** Share of this one of [forwarders]; an equal share while the demand of others is unknown. */
    fun share(service: ServiceName, forwarders: Int): Double {
        val known = others ?: return 1.0 / forwarders
        val own = perSecond(service) + MINIMUM_DEMAND_PER_SECOND
        val rest = (known[service] ?: 0.0) + MINIMUM_DEMAND_PER_SECOND * (forwarders - 1)
        return own / (own + rest)
    }

    private fun perSecond(service: ServiceName) = meter(service).perSecond(time.markNow())

    private fun meter(service: ServiceName) =
        meters.getOrPut(service) { DemandMeter(time.markNow()) }

    private companion object {
        /** Lets a forwarder without recent requests use a small share of a rate at once. */
        const val MINIMUM_DEMAND_PER_SECOND = 0.1
    }
}
