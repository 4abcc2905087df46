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

/** A simulated entry. It uses the production classes for placement and retries. */
internal class ExperimentEntry(private val run: ExperimentRun, index: Int) {
    val loads = LoadTable(run.time)
    private val dataCenter = run.dataCenter(index)
    private var filter = TargetFilter(run.state(), dataCenter)
    private val retryPolicy = RetryPolicy(RetryBudget(), Random(index))

    private val previousTargets = PreviousTargets(run.time)
    private val probeBudget = ProbeBudget()

    fun configure() {
        previousTargets.recordChange(filter)
        filter = TargetFilter(run.state(), dataCenter)
    }

    fun accept(turn: Turn) {
        retryPolicy.requestStarted()
        attempt(ExperimentCall(turn, this))
    }

    fun attempt(call: ExperimentCall) {
        val team = run.load.teams[call.turn.team].name
        val request = RoutedRequest(team, run.service.name, ModelName("m"))
        val selection = filter.select(request, loads)
        val key = call.turn.key
        val ranked = run.policy.rank(key, selection.candidates)
        call.preferredTarget = run.policy.preferredTarget(key, selection.candidates)
        if (call.attempts == 0) {
            call.plan = RoutePlan(
                previousTargets.find(request, key, run.policy, selection.candidates),
                probeBudget.requestStarted(),
            )
        }
        val step = call.plan.next(ranked, selection.candidates.queueTarget(ranked))
        if (step == null) {
            run.figures.refused++
            return
        }
        val name = step.target
        call.attempts++
        if (call.turn.atMillis >= 240_000) run.figures.attempts++
        loads.recordDispatch(name)
        val sidecar = run.sidecars.first { it.target.name == name }
        val distance = selection.candidates.first { it.target.name == name }.distance
        run.after(distance) { sidecar.receive(call, distance, step) }
    }

    fun refused(
        call: ExperimentCall,
        mayWait: Boolean,
        name: TargetName,
        reason: NotRunReason,
        pause: Duration,
        report: LoadReport,
    ) {
        loads.recordEnd(name)
        loads.recordReport(name, report)
        call.plan.recordRefusal(name)
        if (reason == NotRunReason.OVERLOADED && !mayWait) {
            probeBudget.probeRefused()
            attempt(call)
            return
        }
        fail(call, AttemptFailure.NotRun(reason, pause))
    }

    fun fail(call: ExperimentCall, failure: AttemptFailure) {
        val elapsed = run.nowMillis - call.turn.atMillis
        val remaining = 60.seconds - elapsed.milliseconds
        val untried = run.targets.size - run.out.size - call.plan.refusals.size
        val request = RetryContext(++call.failures, remaining, true, 0, maxOf(0, untried))
        when (val decision = retryPolicy.decide(failure, request)) {
            RetryDecision.RetryOtherTarget -> attempt(call)
            is RetryDecision.RetryAfter -> run.after(decision.delay) { attempt(call) }
            is RetryDecision.GiveUp -> if (call.turn.atMillis >= 240_000) run.figures.refused++
        }
    }

    fun declined(
        call: ExperimentCall,
        name: TargetName,
        pointer: TargetName?,
        report: LoadReport,
    ) {
        ended(name, report)
        if (pointer != null) call.plan.recordRedirect(pointer)
        attempt(call)
    }

    fun lost(call: ExperimentCall, name: TargetName) {
        loads.recordEnd(name)
        call.plan.recordRefusal(name)
        fail(call, AttemptFailure.MayHaveRun)
    }

    fun ended(name: TargetName, report: LoadReport) {
        loads.recordEnd(name)
        loads.recordReport(name, report)
    }
}
