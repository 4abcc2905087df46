package org.hibiscusproxy.daemon.controller

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.control.ChangeCommand
import org.hibiscusproxy.control.ChangeIdentifier
import org.hibiscusproxy.control.ChangeOutcome
import org.hibiscusproxy.control.FleetInstant
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Incarnation

/**
 * Simulates three controllers with the real log and state, sidecars, entries and an operator in
 * virtual time. Controllers are restarted, and partitioned from each other while clients still
 * reach them. Sidecars are replaced while the previous incarnation keeps running.
 */
internal class ControllerSimulation(seed: Int) {
    private val network = LossyNetwork(Random(seed))
    private val random get() = network.random
    private val names = listOf("c1", "c2", "c3").map(::ProcessName)
    private val controllers: List<SimulatedController> = names.map { name ->
        SimulatedController(name, { names }, network, peer = ::controller)
    }
    private val sidecars = mutableListOf<LeaseClient>()
    private val recorder = ExecutionRecorder()
    private val entries = listOf("entry-1", "entry-2").map { name ->
        ClaimClient(name, controllers, network, recorder)
    }
    private val accepted = LinkedHashMap<ChangeIdentifier, ChangeOutcome.Accepted>()
    private val inForceBy = sortedMapOf<Long, Duration>()
    private var changes = 0
    private var leasedSteps = 0
    private var steps = 0

    val violations = mutableListOf<String>()
    val acceptedChanges: Int get() = accepted.size
    val executions: Int get() = recorder.executions
    val resentAnswers: Int get() = recorder.resentAnswers

    /** Share of steps in which some sidecar of `t1` held a lease. */
    val leaseShare: Double get() = leasedSteps.toDouble() / steps

    private fun controller(name: ProcessName) = controllers[names.indexOf(name)]

    fun run(duration: Duration) {
        stepUntil { leader() != null }
        change { ChangeCommand.PublishObjects(it, 0, ControllerFixture.objects, at) }
        ControllerFixture.objects.targets.forEach { startSidecar(it.name.value) }
        val end = network.elapsed() + duration
        while (network.elapsed() < end) {
            injectFaults()
            if (random.nextInt(25) == 0) changeDataCenter()
            if (random.nextInt(10) == 0) rereadChange()
            step()
        }
        controllers.forEach { it.isPartitioned = false }
        network.advance(2.seconds)
        stepUntil { leader() != null }
        checkAccepted()
        violations += recorder.violations
    }

    private fun stepUntil(condition: () -> Boolean) {
        repeat(MAXIMUM_STEPS) {
            if (condition()) return
            step()
        }
        violations += "condition not met within ${STEP * MAXIMUM_STEPS}"
    }

    private fun leader() = controllers.firstOrNull { it.isLeading && !it.isPartitioned }

    private fun injectFaults() {
        if (random.nextInt(150) == 0) {
            controllers.forEach { it.isPartitioned = false }
            if (random.nextBoolean()) controllers.random(random).isPartitioned = true
        }
        if (random.nextInt(400) == 0) controllers.random(random).restart()
        if (random.nextInt(400) == 0) startSidecar("t${random.nextInt(1, 3)}")
    }

    private fun startSidecar(target: String) {
        val name = ControllerFixture.objects.targets.single { it.name.value == target }.name
        val incarnation = Incarnation(sidecars.size + 1L)
        sidecars += LeaseClient(name, incarnation, controllers, network)
    }

    private fun changeDataCenter() {
        val state = OperationalState.entries.random(random)
        val name = DataCenterName(listOf("lj", "mb").random(random))
        change { ChangeCommand.SetDataCenterState(it, name, state, at) }
    }

    private fun change(build: OperatorClock.(ChangeIdentifier) -> ChangeCommand) {
        changes += 1
        val identifier = ChangeIdentifier("change-$changes")
        val request = OperatorRequest.Change(Duration.ZERO) { OperatorClock(it).build(identifier) }
        controllers.random(random).operator(request).thenAccept(::recordReply)
        if (changes == 1) controllers.forEach { it.operator(request).thenAccept(::recordReply) }
    }

    private fun rereadChange() {
        val change = accepted.keys.toList().takeLast(3).randomOrNull(random) ?: return
        val request = OperatorRequest.ReadChange(change, Duration.ZERO)
        controllers.random(random).operator(request).thenAccept(::recordReply)
    }

    private fun recordReply(reply: OperatorReply) {
        val report = (reply as? OperatorReply.Change)?.report ?: return
        val outcome = report.outcome as? ChangeOutcome.Accepted ?: return
        val previous = accepted.put(report.change, outcome)
        if (previous != null && previous != outcome) {
            violations += "${report.change} was answered with $previous, then with $outcome"
        }
        val progress = report.progress ?: return
        val within = progress.withinMilliseconds?.milliseconds ?: Duration.ZERO
        val by = network.elapsed() + within
        inForceBy.merge(progress.version, by) { left, right -> minOf(left, right) }
    }

    private fun step() {
        network.advance(STEP)
        sidecars.forEach { it.advance() }
        entries.forEach { it.advance() }
        controllers.forEach { it.advance() }
        checkStep()
    }

    private fun checkStep() {
        val holders = sidecars.filter { it.isValid }
        steps += 1
        if (holders.any { it.target.value == "t1" }) leasedSteps += 1
        for ((target, all) in holders.groupBy { it.target }) {
            if (all.size > 1) violations += "$target has ${all.size} lease holders"
        }
        for (sidecar in holders) {
            val late = inForceBy.tailMap(sidecar.version + 1).filterValues {
                network.elapsed() > it
            }
            if (late.isNotEmpty()) {
                violations +=
                    "${sidecar.target} is at ${sidecar.version} after deadlines $late"
            }
        }
    }

    /** Checks that no accepted change was lost. */
    private fun checkAccepted() {
        val leader = leader() ?: return
        for ((change, outcome) in accepted) {
            val reply = leader.operator(OperatorRequest.ReadChange(change, Duration.ZERO)).get()
            val found = (reply as? OperatorReply.Change)?.report?.outcome
            if (found != outcome) violations += "$change: $outcome became $found"
        }
    }

    private class OperatorClock(val at: FleetInstant)

    private companion object {
        val STEP = 20.milliseconds
        const val MAXIMUM_STEPS = 1_000
    }
}
