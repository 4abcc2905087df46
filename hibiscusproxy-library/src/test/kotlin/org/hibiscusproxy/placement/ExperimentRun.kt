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
import org.hibiscusproxy.retry.RetryDecision
import org.hibiscusproxy.retry.RetryPolicy
import org.hibiscusproxy.retry.RetryRequest

/**
 * Replays a recorded load against real decision objects and fake engines in virtual time. Reports
 * reach the leader once a second and the pool's total comes back with the lease, so a sidecar's
 * total is one to two seconds old; entries see a membership change after up to two seconds.
 */
internal class ExperimentRun(
    private val fleet: ExperimentFleet,
    private val load: ExperimentLoad,
    private val policy: PlacementPolicy,
    private val changes: List<Change> = emptyList(),
    measureFromMinute: Double = 4.0,
    private val burst: ExperimentLoad.Burst? = null,
    private val engineCount: Int = 6,
    private val cacheBlocks: Int = 5_000,
) {
    private val time = TestTimeSource()
    private val start = time.markNow()
    private val random = Random(7)
    private val service = Service(ServiceName("chat"), ServiceKind.Chat(listOf(ModelName("m"))))
    private val targets = List(engineCount) {
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
    private var nowMillis = 0.0
    private val figures = ExperimentFigures(measureFromMinute * 60_000, service.loadMultiple)
    private val out = HashSet<TargetName>()
    private val sidecars = targets.map { Sidecar(it) }
    private val entries = List(ENTRIES) { Entry(it) }

    private class Event(val atMillis: Double, val order: Long, val action: () -> Unit)

    private fun dataCenter(index: Int) = DataCenterName("dc-${index % fleet.dataCenters}")

    private fun at(millis: Double, action: () -> Unit) {
        events += Event(millis, order++, action)
    }

    private fun after(duration: Duration, action: () -> Unit) =
        at(nowMillis + duration.inWholeMicroseconds / 1000.0, action)

    fun run(): ExperimentFigures {
        val best = FakePrefixCache(cacheBlocks * engineCount)
        for (sidecar in sidecars) {
            at(0.0) { sidecar.renew() }
            at(random.nextDouble() * 1000) { sidecar.tick() }
        }
        for (turn in load.turns) {
            at(turn.atMillis) {
                figures.arrived(turn, best.cached(turn))
                best.store(turn, turn.promptBlocks + turn.answerBlocks)
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
            sidecar.index.restarted()
            for (other in sidecars) other.pointers.forget(sidecar.target.name)
        }
        sidecar.configure()
        if (change.kind == ChangeKind.CRASH) sidecar.crash()
        for (entry in entries) at(nowMillis + random.nextDouble() * 2000) { entry.configure() }
    }

    private fun state() = FleetState(1, objects, emptySet(), out.toSet())

    private class Call(val turn: Turn, val entry: Entry) {
        var plan = RoutePlan()
        var home: TargetName? = null
        var attempts = 0
        var failures = 0
    }

    private inner class Entry(index: Int) {
        val loads = LoadTable(time)
        private val dataCenter = dataCenter(index)
        private var filter = TargetFilter(state(), dataCenter)
        private val retry = RetryPolicy(RetryBudget(), Random(index))

        private val formerHomes = FormerHomes(time)
        private val allowance = ProbeAllowance()

        fun configure() {
            formerHomes.replaced(filter)
            filter = TargetFilter(state(), dataCenter)
        }

        fun accept(turn: Turn) {
            retry.requestStarted()
            attempt(Call(turn, this))
        }

        fun attempt(call: Call) {
            val team = load.teams[call.turn.team].name
            val request = RoutedRequest(team, service.name, ModelName("m"))
            val selection = filter.select(request, loads)
            val key = call.turn.key
            val ranked = policy.rank(key, selection.candidates)
            call.home = policy.homeOf(key, selection.candidates)
            if (call.attempts == 0) {
                call.plan = RoutePlan(
                    formerHomes.of(request, key, policy, selection.candidates),
                    allowance.requestStarted(),
                )
            }
            val step = call.plan.next(ranked, selection.candidates.placeToWait(ranked))
            if (step == null) {
                figures.refused++
                return
            }
            val name = step.target
            call.attempts++
            if (call.turn.atMillis >= 240_000) figures.attempts++
            loads.dispatched(name)
            val sidecar = sidecars.first { it.target.name == name }
            val distance = selection.candidates.first { it.target.name == name }.distance
            after(distance) { sidecar.receive(call, distance, step) }
        }

        fun refused(
            call: Call,
            mayWait: Boolean,
            name: TargetName,
            reason: NotRunReason,
            pause: Duration,
            report: LoadReport,
        ) {
            loads.finished(name)
            loads.reported(name, report)
            call.plan.refused(name)
            if (reason == NotRunReason.OVERLOADED && !mayWait) {
                allowance.probeRefused()
                attempt(call)
                return
            }
            fail(call, AttemptFailure.NotRun(reason, pause))
        }

        fun fail(call: Call, failure: AttemptFailure) {
            val elapsed = nowMillis - call.turn.atMillis
            val remaining = 60.seconds - elapsed.milliseconds
            val untried = targets.size - out.size - call.plan.refusals.size
            val request = RetryRequest(++call.failures, remaining, true, 0, maxOf(0, untried))
            when (val decision = retry.decide(failure, request)) {
                RetryDecision.RetryElsewhere -> attempt(call)
                is RetryDecision.RetryAfter -> after(decision.pause) { attempt(call) }
                is RetryDecision.GiveUp -> if (call.turn.atMillis >= 240_000) figures.refused++
            }
        }

        fun declined(call: Call, name: TargetName, elsewhere: TargetName?, report: LoadReport) {
            ended(name, report)
            if (elsewhere != null) call.plan.redirected(elsewhere)
            attempt(call)
        }

        fun lost(call: Call, name: TargetName) {
            loads.finished(name)
            call.plan.refused(name)
            fail(call, AttemptFailure.MayHaveRun)
        }

        fun ended(name: TargetName, report: LoadReport) {
            loads.finished(name)
            loads.reported(name, report)
        }
    }

    private inner class Sidecar(val target: Target) {
        val engine = FakeEngine(cacheBlocks, target.coldCapacity)
        var reported = LoadReport()
        private var admission = newAdmission()
        private val calls = HashMap<Attempt, Pair<Call, Duration>>()
        private val probes = HashSet<Attempt>()
        val pointers = PlacementPointers(target.name)
        val index = CacheIndex()
        private val begun = LinkedHashSet<Attempt>()
        private var generation = 0

        private fun newAdmission() =
            TargetAdmission(target.name, Incarnation(1), 64, 10.seconds, time).also {
                it.configure(state())
            }

        fun configure() = admission.configure(state())

        fun crash() {
            generation++
            engine.running = 0
            for (attempt in begun.toList()) {
                val (call, distance) = calls.remove(attempt) ?: continue
                handle(admission.finish(attempt, AttemptResult.TARGET_LOST))
                after(distance) { call.entry.lost(call, target.name) }
            }
            begun.clear()
        }

        fun tick() {
            renew()
            at(nowMillis + 1000) { tick() }
        }

        fun renew() {
            reported = admission.report()
            val pool = sidecars.filter { it.target.name !in out }
            val total = PoolLoad(pool.sumOf { it.reported.running }, pool.size)
            val state = if (target.name in out) OperationalState.OUT else OperationalState.IN
            handle(
                admission.renew(
                    LeaseGrant(1, target.name, 1, state, 1, 3000, total),
                    time.markNow(),
                ),
            )
            admission.targetReported(TargetReport(engine.running, 0, !engine.isCold(nowMillis)))
        }

        fun receive(call: Call, distance: Duration, step: RouteStep) {
            val turn = call.turn
            val attempt =
                Attempt(RequestIdentifier("${turn.chat}-${turn.ownBlocks}"), call.attempts)
            calls[attempt] = call to distance
            if (!step.mayWait) probes += attempt
            val dispatch = Dispatch(
                attempt, Incarnation(1), load.teams[turn.team].name, service.name,
                Priority.INTERACTIVE, 60_000, true, Fingerprint(turn.chat.toLong()), "POST", "/",
                emptyList(), Payload.EMPTY,
            )
            val elsewhere = pointers.whereIs(turn.key).takeIf { step.followsPointer }
            val isUnwanted =
                step.onlyIfCached && index.knowledgeOf(turn.key) != CacheKnowledge.CACHED
            if (elsewhere != null || isUnwanted) {
                admission.decline(attempt)
                calls.remove(attempt)
                val report = admission.report()
                after(distance) { call.entry.declined(call, target.name, elsewhere, report) }
                return
            }
            when (val decision = admission.offer(dispatch, step.mayWait)) {
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
            after(distance) {
                call.entry.refused(call, !isProbe, target.name, reason, pause, report)
            }
        }

        private fun begin(attempt: Attempt) {
            val (call, distance) = calls.getValue(attempt)
            val turn = call.turn
            begun += attempt
            index.ran(turn.key)
            val home = sidecars.first { it.target.name == call.home }
            after(distance * 2) { home.pointers.placed(turn.key, target.name) }
            val timing = engine.start(turn, nowMillis)
            if (engine.isCold(nowMillis) &&
                engine.running > target.coldCapacity
            ) {
                figures.coldOverloads++
            }
            val began = generation
            at(timing.firstTokenMillis) {
                if (began == generation) {
                    admission.firstByte(attempt)
                    val seen = nowMillis + distance.inWholeMicroseconds / 1000.0
                    figures.served(turn, timing.cachedBlocks, seen)
                    recordBurst(turn, seen - turn.atMillis)
                }
            }
            at(timing.endMillis) {
                if (began == generation) {
                    begun -= attempt
                    calls.remove(attempt)
                    engine.finish(turn)
                    handle(admission.finish(attempt, AttemptResult.COMPLETED))
                    val report = admission.report()
                    after(distance) { call.entry.ended(target.name, report) }
                }
            }
        }

        private fun recordBurst(turn: Turn, millis: Double) {
            if (burst == null || turn.team == burst.team || turn.atMillis < 240_000) return
            val minute = turn.atMillis / 60_000
            if (minute < burst.fromMinute) figures.othersBefore.recordValue(millis.toLong())
            if (minute in burst.fromMinute..burst.toMinute) {
                figures.othersDuring.recordValue(millis.toLong())
            }
        }
    }

    private companion object {
        const val ENTRIES = 3
    }
}
