package org.hibiscusproxy.control

import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.control.ControlFixture.change
import org.hibiscusproxy.control.ControlFixture.dataCenter
import org.hibiscusproxy.control.ControlFixture.objects
import org.hibiscusproxy.control.ControlFixture.publish
import org.hibiscusproxy.control.ControlFixture.run
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.LeaseRequest
import org.hibiscusproxy.protocol.LoadReport

/**
 * Simulates leaders and sidecars with drifting clocks and a network that loses, delays and reorders
 * messages. Leaders are replaced without the previous one noticing, sidecars are replaced while the
 * previous one keeps running, and data centres are taken out. Each step compares every sidecar ever
 * started with every answer given to an operator.
 */
internal class LeaseSimulation(seed: Int, private val settings: LeaseSettings) {
    private val random = Random(seed)
    private val time = TestTimeSource()
    private val start = time.markNow()
    private val log = mutableListOf<ControlCommand>()
    private val leaders = mutableListOf<SimulatedLeader>()
    private val sidecars = mutableListOf<SimulatedSidecar>()
    private val messages = mutableListOf<DelayedMessage>()
    private val answers = sortedMapOf<Long, Duration>()
    private val targets = objects.targets.mapIndexed { index, target ->
        target.copy(checksFencing = index == 0)
    }
    private var changes = 0

    /** Number of steps, summed over the sidecars, at which a sidecar held a valid lease. */
    var admissions = 0
        private set

    /** Number of answers that named an instant in the future. */
    var futureAnswers = 0
        private set

    /** Descriptions of the violations found. */
    val violations = mutableListOf<String>()

    fun run(duration: Duration) {
        elect()
        commit(publish("first", 0, objects.copy(targets = targets)))
        targets.forEach(::startSidecar)
        while (elapsed() < duration) {
            step()
            time += STEP
        }
    }

    private fun step() {
        if (random.nextInt(200) == 0) elect()
        if (random.nextInt(400) == 0) startSidecar(targets.random(random))
        if (random.nextInt(60) == 0) changeDataCenter()
        if (leaders.last().isReady(elapsed()) && random.nextInt(10) == 0) queryProgress()
        leaders.last().contact()
        sidecars.forEach(::renew)
        val due = messages.filter { it.at <= elapsed() }
        messages.removeAll(due)
        due.forEach { it.deliver() }
        sidecars.forEach(::check)
        checkExclusiveLeases()
    }

    private fun elapsed(): Duration = start.elapsedNow()

    private fun elect() {
        val readyAt = elapsed() + random.nextInt(0, 500).milliseconds
        leaders += SimulatedLeader(clock(), readyAt)
    }

    private fun clock() = DriftingClock(1 + random.nextDouble(-HALF_DRIFT, HALF_DRIFT))

    private fun startSidecar(target: Target) {
        val incarnation = Incarnation(sidecars.size + 1L)
        sidecars += SimulatedSidecar(target, incarnation, clock())
    }

    /** Commits [command] on the newest leader, or returns null while that is not ready. */
    private fun commit(command: ControlCommand): SimulatedLeader? {
        val leader = leaders.last()
        if (leaders.size > 1 && !leader.isReady(elapsed())) return null
        log += command
        leader.catchUp()
        return leader
    }

    private fun changeDataCenter() {
        changes += 1
        val state = OperationalState.entries.random(random)
        val name = objects.dataCenters.random(random).name
        commit(dataCenter("change-$changes", name, state)) ?: return
        queryProgress()
    }

    private fun queryProgress() {
        val leader = leaders.last()
        leader.catchUp()
        val newest = leader.state.fleet.version
        val version = random.nextLong(maxOf(1, newest - 2), newest + 1)
        val progress = leader.granter.progress(version, leader.state, leader.clock.now())
        val by = progress.inForceBy?.let { leader.clock.elapsedAt(it) } ?: elapsed()
        if (by > elapsed()) futureAnswers += 1
        answers.merge(version, by) { left, right -> minOf(left, right) }
    }

    private fun renew(sidecar: SimulatedSidecar) {
        if (elapsed() < sidecar.nextRenewal) return
        sidecar.nextRenewal = elapsed() + random.nextInt(200, 1_200).milliseconds
        val request = sidecar.lease.request(LoadReport(), sidecar.clock.now())
        val leader = leaders.takeLast(2).random(random)
        send { leader.receive(request, sidecar) }
    }

    private fun send(deliver: () -> Unit) {
        if (random.nextInt(5) == 0) return
        val delay = if (random.nextInt(4) == 0) random.nextInt(2_500) else random.nextInt(40)
        messages += DelayedMessage(elapsed() + delay.milliseconds, deliver)
    }

    private fun check(sidecar: SimulatedSidecar) {
        if (!sidecar.lease.isValid(sidecar.clock.now())) return
        admissions += 1
        val version = sidecar.lease.knownVersion
        for ((changed, by) in answers.tailMap(version + 1)) {
            if (elapsed() <= by) continue
            violations += "${sidecar.target.name} acts on $version at ${elapsed()}, " +
                "although $changed is in force by $by"
        }
    }

    /** Without fencing at the engine, only one incarnation of a target may hold a lease. */
    private fun checkExclusiveLeases() {
        val holders = sidecars
            .filter { !it.target.checksFencing && it.lease.isValid(it.clock.now()) }
            .groupBy { it.target.name }
        for ((target, incarnations) in holders) {
            if (incarnations.size == 1) continue
            violations += "$target has ${incarnations.size} lease holders at ${elapsed()}"
        }
    }

    private class DelayedMessage(val at: Duration, val deliver: () -> Unit)

    private inner class DriftingClock(private val rate: Double) {
        fun now(): ComparableTimeMark = start + elapsed() * rate

        fun elapsedAt(mark: ComparableTimeMark): Duration = (mark - start) / rate
    }

    private inner class SimulatedSidecar(
        val target: Target,
        val incarnation: Incarnation,
        val clock: DriftingClock,
    ) {
        val lease = SidecarLease(target.name, incarnation)
        var nextRenewal = elapsed()

        fun receive(grant: LeaseGrant, leader: SimulatedLeader) {
            if (lease.receive(grant) != LeaseReceipt.NEW_VERSION) return
            send { leader.acknowledged(target.name, incarnation, grant.version) }
        }
    }

    private inner class SimulatedLeader(val clock: DriftingClock, private val readyAt: Duration) {
        val state = ControlState()
        val granter = LeaseGranter(settings, clock.now())
        private var applied = 0
        private var contact = clock.now()

        fun isReady(now: Duration) = now >= readyAt

        /** Called until the next election, the latest majority contact of a previous leader. */
        fun contact() {
            contact = clock.now()
        }

        fun catchUp() {
            while (applied < log.size) state.run(log[applied++])
        }

        fun receive(request: LeaseRequest, sidecar: SimulatedSidecar) {
            val isNewest = this === leaders.last()
            if (isNewest && !isReady(elapsed())) return
            if (isNewest) catchUp()
            var decision = granter.request(request, state, contact, clock.now())
            if (decision == LeaseDecision.NeedsFencingNumber && isNewest) {
                val at = FleetInstant.ZERO
                commit(AllocateFencingNumber(request.target, request.incarnation, at))
                decision = granter.request(request, state, contact, clock.now())
            }
            if (decision is LeaseDecision.Granted) {
                val grant = decision.grant
                send { sidecar.receive(grant, this) }
            }
        }

        fun acknowledged(target: TargetName, incarnation: Incarnation, version: Long) =
            granter.acknowledge(target, incarnation, version, clock.now())
    }

    private companion object {
        val STEP = 25.milliseconds
        const val HALF_DRIFT = 0.0049
    }
}
