package org.hibiscusproxy.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.admission.RequestClass
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TeamName

/** Requests a minute of a team with a rank, those that are refused included. */
@Serializable
data class ClassDemand(
    @SerialName("k") val rank: Int,
    @SerialName("t") val team: TeamName?,
    @SerialName("r") val perMinute: Int,
) {
    val requestClass: RequestClass get() = RequestClass(rank, team)
}

/**
 * Demand for a service whose room may be short, from one forwarder or from all except the receiver.
 *
 * @property isBusy whether a sender saw the targets busy itself; the others report for its sake
 * @property answersPerMinute answers of the last seconds
 * @property prefillMilliseconds time that engines read for these, a minute; 0 for plain services
 * @property demand requests by rank and team
 */
@Serializable
data class ServicePressure(
    @SerialName("s") val service: ServiceName,
    @SerialName("b") val isBusy: Boolean,
    @SerialName("n") val answersPerMinute: Int,
    @SerialName("w") val prefillMilliseconds: Long,
    @SerialName("d") val demand: List<ClassDemand>,
) {
    /** Sum of this and [other], which concerns the same service. */
    operator fun plus(other: ServicePressure) = ServicePressure(
        service,
        isBusy || other.isBusy,
        answersPerMinute + other.answersPerMinute,
        prefillMilliseconds + other.prefillMilliseconds,
        (demand + other.demand).groupBy { it.requestClass }.map { (key, parts) ->
            ClassDemand(key.rank, key.team, parts.sumOf { it.perMinute })
        },
    )

    companion object {
        /** Sums [reports] by service. */
        fun sum(reports: Iterable<ServicePressure>): List<ServicePressure> = reports
            .groupBy { it.service }
            .map { (_, ofService) -> ofService.reduce(ServicePressure::plus) }
            .sortedBy { it.service.value }
    }
}
