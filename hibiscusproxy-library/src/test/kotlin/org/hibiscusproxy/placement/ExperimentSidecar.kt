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

/** A simulated sidecar and its fake engine. */
internal class ExperimentSidecar(private val run: ExperimentRun, val target: Target) {
    val engine = FakeEngine(run.cacheBlocks, target.coldCapacity)
    var reported = LoadReport()
    private var admission = newAdmission()
    private val calls = HashMap<Attempt, Pair<ExperimentCall, Duration>>()
    private val probes = HashSet<Attempt>()
    val pointers = PlacementPointers(target.name)
    val index = CacheIndex()
    private val runningAttempts = LinkedHashSet<Attempt>()
    private var generation = 0

    private fun newAdmission() =
        TargetAdmission(target.name, Incarnation(1), 64, 10.seconds, run.time).also {
            it.configure(run.state())
        }

    fun configure() = admission.configure(run.state())

    fun crash() {
        generation++
        engine.running = 0
        for (attempt in runningAttempts.toList()) {
            val (call, distance) = calls.remove(attempt) ?: continue
            handle(admission.finish(attempt, AttemptResult.TARGET_LOST))
            run.after(distance) { call.entry.lost(call, target.name) }
        }
        runningAttempts.clear()
    }

    fun tick() {
        renew()
        run.at(run.nowMillis + 1000) { tick() }
    }

    fun renew() {
        reported = admission.report()
        val pool = run.sidecars.filter { it.target.name !in run.out }
        val total = PoolLoad(pool.sumOf { it.reported.running }, pool.size)
        val state = if (target.name in run.out) OperationalState.OUT else OperationalState.IN
        handle(
            admission.renew(
                LeaseGrant(1, target.name, 1, state, 1, 3000, total),
                run.time.markNow(),
            ),
        )
        admission.targetReported(TargetReport(engine.running, 0, !engine.isCold(run.nowMillis)))
    }

    fun receive(call: ExperimentCall, distance: Duration, step: RouteStep) {
        val turn = call.turn
        val attempt =
            Attempt(RequestIdentifier("${turn.chat}-${turn.ownBlocks}"), call.attempts)
        calls[attempt] = call to distance
        if (!step.mayWait) probes += attempt
        val dispatch = Dispatch(
            attempt, Incarnation(1), run.load.teams[turn.team].name, run.service.name,
            Priority.INTERACTIVE, 60_000, true, Fingerprint(turn.chat.toLong()), "POST", "/",
            emptyList(), Payload.EMPTY,
        )
        val pointer = pointers.targetOf(turn.key).takeIf { step.followsPointer }
        val isNotCached =
            step.onlyIfCached && index.stateOf(turn.key) != CacheState.CACHED
        if (pointer != null || isNotCached) {
            admission.decline(attempt)
            calls.remove(attempt)
            val report = admission.report()
            run.after(distance) { call.entry.declined(call, target.name, pointer, report) }
            return
        }
        when (val decision = admission.offer(dispatch.copy(mayWait = step.mayWait))) {
            AdmissionDecision.Admitted -> begin(attempt)
            AdmissionDecision.Queued -> Unit
            is AdmissionDecision.Refused -> refuse(
                attempt,
                decision.reason,
                decision.retryAfter,
            )
        }
    }

    private fun handle(events: List<AdmissionEvent>) {
        for (event in events) {
            when (event) {
                is AdmissionEvent.Admit -> begin(event.attempt)
                is AdmissionEvent.Refuse -> refuse(
                    event.attempt,
                    event.reason,
                    event.retryAfter,
                )
            }
        }
    }

    private fun refuse(attempt: Attempt, reason: NotRunReason, pause: Duration) {
        val (call, distance) = calls.remove(attempt) ?: return
        val isProbe = probes.remove(attempt)
        val report = admission.report()
        run.after(distance) {
            call.entry.refused(call, !isProbe, target.name, reason, pause, report)
        }
    }

    private fun begin(attempt: Attempt) {
        val (call, distance) = calls.getValue(attempt)
        val turn = call.turn
        runningAttempts += attempt
        index.recordRun(turn.key)
        val preferred = run.sidecars.first { it.target.name == call.preferredTarget }
        run.after(distance * 2) { preferred.pointers.record(turn.key, target.name) }
        val timing = engine.start(turn, run.nowMillis)
        if (engine.isCold(run.nowMillis) &&
            engine.running > target.coldCapacity
        ) {
            run.figures.coldOverloads++
        }
        val startGeneration = generation
        run.at(timing.firstTokenMillis) {
            if (startGeneration == generation) {
                admission.firstByte(attempt)
                val receivedAtMillis = run.nowMillis + distance.inWholeMicroseconds / 1000.0
                run.figures.served(turn, timing.cachedBlocks, receivedAtMillis)
                recordBurst(turn, receivedAtMillis - turn.atMillis)
            }
        }
        run.at(timing.endMillis) {
            if (startGeneration == generation) {
                runningAttempts -= attempt
                calls.remove(attempt)
                engine.finish(turn)
                handle(admission.finish(attempt, AttemptResult.COMPLETED))
                val report = admission.report()
                run.after(distance) { call.entry.ended(target.name, report) }
            }
        }
    }

    private fun recordBurst(turn: Turn, millis: Double) {
        val burst = run.burst
        if (burst == null || turn.team == burst.team || turn.atMillis < 240_000) return
        val minute = turn.atMillis / 60_000
        if (minute < burst.fromMinute) run.figures.otherTeamsBefore.recordValue(millis.toLong())
        if (minute in burst.fromMinute..burst.toMinute) {
            run.figures.otherTeamsDuring.recordValue(millis.toLong())
        }
    }
}
