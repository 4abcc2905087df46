package org.hibiscusproxy.admission

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.ModelName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.model.Service
import org.hibiscusproxy.model.ServiceKind
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.Team
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.Dispatch
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.PoolLoad
import org.hibiscusproxy.protocol.RequestIdentifier

/** Admission control of a plain service's target, with a lease and an unbounded pool of one. */
internal class AdmissionFixture(
    capacity: Int = 4,
    coldCapacity: Int = capacity,
    maximumQueue: Int = 8,
    queueTime: Duration = 10.seconds,
    kind: ServiceKind = ServiceKind.Plain(),
) {
    val time = TestTimeSource()
    val admission =
        TargetAdmission(TARGET, INCARNATION, maximumQueue, queueTime, time)

    val state = FleetState(
        version = 1,
        objects = FleetObjects(
            teams = listOf(Team(TeamName("large"), share = 3), Team(TeamName("small"))),
            services = listOf(Service(SERVICE, kind)),
            targets = listOf(
                Target(
                    TARGET,
                    SERVICE,
                    DataCenterName("dc"),
                    NetworkAddress("127.0.0.1", 1),
                    listOf(ModelName("m")),
                    capacity = capacity,
                    coldCapacity = coldCapacity,
                ),
            ),
        ),
    )

    init {
        admission.configure(state)
        renew()
    }

    fun renew(
        pool: PoolLoad = PoolLoad(0, 1),
        state: OperationalState = OperationalState.IN,
        requestedAt: ComparableTimeMark = time.markNow(),
        version: Long = 1,
        fencingNumber: Long = 1,
    ) = admission.renew(
        LeaseGrant(1, TARGET, version, state, fencingNumber, 3_000, pool),
        requestedAt,
    )

    fun dispatch(
        request: String,
        number: Int = 1,
        team: String = "small",
        priority: Priority = Priority.INTERACTIVE,
        remainingMilliseconds: Long = 60_000,
        incarnation: Incarnation = INCARNATION,
    ) = Dispatch(
        Attempt(RequestIdentifier(request), number), incarnation, TeamName(team), SERVICE,
        priority, remainingMilliseconds, true, Fingerprint(request.hashCode().toLong()),
        "POST", "/", emptyList(), Payload.EMPTY,
    )

    fun offer(request: String, team: String = "small", priority: Priority = Priority.INTERACTIVE) =
        admission.offer(dispatch(request, team = team, priority = priority))

    fun finish(request: String, result: AttemptResult = AttemptResult.COMPLETED) =
        admission.finish(attempt(request), result)

    companion object {
        val TARGET = TargetName("engine-1")
        val SERVICE = ServiceName("chat")
        val INCARNATION = Incarnation(7)

        fun attempt(request: String, number: Int = 1) = Attempt(RequestIdentifier(request), number)
    }
}
