package org.hibiscusproxy.placement

import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.admission.AdmissionDecision
import org.hibiscusproxy.admission.AdmissionEvent
import org.hibiscusproxy.admission.AttemptResult
import org.hibiscusproxy.admission.TargetAdmission
import org.hibiscusproxy.admission.TargetReport
import org.hibiscusproxy.model.DataCenter
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.Link
import org.hibiscusproxy.model.ModelName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.model.Service
import org.hibiscusproxy.model.ServiceKind
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.Dispatch
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.LoadReport
import org.hibiscusproxy.protocol.NotRunReason
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.PoolLoad
import org.hibiscusproxy.protocol.RequestIdentifier
import org.hibiscusproxy.retry.AttemptFailure
import org.hibiscusproxy.retry.RetryBudget
import org.hibiscusproxy.retry.RetryContext
import org.hibiscusproxy.retry.RetryDecision
import org.hibiscusproxy.retry.RetryPolicy

/**
 * Simulates a load in virtual time with the production placement and admission classes and fake
 * engines. Load reports reach the leader once per second and the pool's total returns with the
 * lease, so a sidecar's total is one to two seconds old. Entries observe a membership change after
 * up to two seconds.
 */
internal class ExperimentRun(
    private val fleet: ExperimentFleet,
    val load: ExperimentLoad,
    val policy: PlacementPolicy,
    private val changes: List<Change> = emptyList(),
    measureFromMinute: Double = 4.0,
    val burst: ExperimentLoad.Burst? = null,
    private val engineCount: Int = 6,
    val cacheBlocks: Int = 5_000,
) {
    val time = TestTimeSource()
    private val start = time.markNow()
    private val random = Random(7)
    val service = Service(ServiceName("chat"), ServiceKind.Chat(listOf(ModelName("m"))))
    val targets = List(engineCount) {
        Target(
            TargetName("engine-$it"),
            service.name,
            dataCenter(it),
            NetworkAddress("127.0.0.1", 1),
            listOf(ModelName("m")),
            capacity = 16,
            coldCapacity = 2,
        )
    }
    private val objects = FleetObjects(
        load.teams,
        listOf(service),
        List(fleet.dataCenters) { DataCenter(dataCenter(it), "r") },
        (0 until fleet.dataCenters).flatMap { a ->
            (0 until a).map { Link(dataCenter(a), dataCenter(it), fleet.oneWayMillis) }
        },
        targets,
    )
    private val events = PriorityQueue(compareBy<Event>({ it.atMillis }, { it.order }))
    private var order = 0L
    var nowMillis = 0.0
        private set
    val figures = ExperimentFigures(measureFromMinute * 60_000, service.loadMultiple)
    val out = HashSet<TargetName>()
    val sidecars = targets.map { ExperimentSidecar(this, it) }
    private val entries = List(ENTRIES) { ExperimentEntry(this, it) }

    private class Event(val atMillis: Double, val order: Long, val action: () -> Unit)

    fun dataCenter(index: Int) = DataCenterName("dc-${index % fleet.dataCenters}")

    fun at(millis: Double, action: () -> Unit) {
        events += Event(millis, order++, action)
    }

    fun after(duration: Duration, action: () -> Unit) =
        at(nowMillis + duration.inWholeMicroseconds / 1000.0, action)

    fun run(): ExperimentFigures {
        val idealCache = FakePrefixCache(cacheBlocks * engineCount)
        for (sidecar in sidecars) {
            at(0.0) { sidecar.renew() }
            at(random.nextDouble() * 1000) { sidecar.tick() }
        }
        for (turn in load.turns) {
            at(turn.atMillis) {
                figures.arrived(turn, idealCache.cached(turn))
                idealCache.store(turn, turn.promptBlocks + turn.answerBlocks)
                entries[turn.entry].accept(turn)
            }
        }
        for (change in changes) at(change.minute * 60_000) { apply(change) }
        at(0.0) { sample() }
        val endMillis = load.minutes * ExperimentLoad.MINUTE_MILLIS
        while (true) {
            val event = events.poll() ?: break
            if (event.atMillis > endMillis) break
            nowMillis = maxOf(nowMillis, event.atMillis)
            time += start + nowMillis.milliseconds - time.markNow()
            event.action()
        }
        return figures
    }

    private fun sample() {
        figures.sample(
            nowMillis,
            sidecars.filter {
                it.target.name !in out
            }.map { it.engine.running },
        )
        at(nowMillis + 100) { sample() }
    }

    private fun apply(change: Change) {
        val sidecar = sidecars[change.engine]
        val isIn = change.kind == ChangeKind.JOIN
        if (isIn) out -= sidecar.target.name else out += sidecar.target.name
        if (isIn) {
            sidecar.engine.restart(nowMillis)
            sidecar.index.recordRestart()
            for (other in sidecars) other.pointers.removeAll(sidecar.target.name)
        }
        sidecar.configure()
        if (change.kind == ChangeKind.CRASH) sidecar.crash()
        for (entry in entries) at(nowMillis + random.nextDouble() * 2000) { entry.configure() }
    }

    fun state() = FleetState(1, objects, emptySet(), out.toSet())

    private companion object {
        const val ENTRIES = 3
    }
}
