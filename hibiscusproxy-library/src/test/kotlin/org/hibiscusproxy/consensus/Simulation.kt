package org.hibiscusproxy.consensus

import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.model.ProcessName

/**
 * Probabilities of faults and proposals in a run: [loss], [duplicates] and [longDelays] per
 * message, the others per step of 5 ms.
 */
data class FaultPlan(
    val loss: Double = 0.0,
    val duplicates: Double = 0.0,
    val longDelays: Double = 0.0,
    val crash: Double = 0.0,
    val partition: Double = 0.0,
    val wipe: Double = 0.0,
    val removal: Double = 0.0,
    val proposals: Double = 0.3,
)

/** Replicas, network, clients and an operator in virtual time, deterministic for a given seed. */
class Simulation(
    seed: Long,
    size: Int,
    private val faults: FaultPlan = FaultPlan(),
    private val settings: ReplicatedLogSettings =
        ReplicatedLogSettings(ProcessName("-"), emptyList()),
    private val reconciler: MembershipReconciler? = null,
    observers: Set<Int> = emptySet(),
) {
    val random = Random(seed)
    val checker = HistoryChecker()
    val network = SimulatedNetwork(random)
    private val names = (1..size).map { ProcessName("c$it") }
    val replicas = names.withIndex().associate { (index, name) ->
        val own = settings.copy(name = name, bootstrap = names)
        name to SimulatedReplica(own, checker, random, hasDisk = index + 1 !in observers)
    }
    private val time = TestTimeSource()
    private var partitionEndsAt = 0L
    private var nextIdentifier = 1
    private var injectsFaults = true
    var now = 0L
        private set

    val leader: SimulatedReplica?
        get() = replicas.values
            .filter { it.log?.role == ConsensusRole.LEADER }
            .maxByOrNull { it.log?.term ?: 0 }

    fun replica(number: Int): SimulatedReplica = replicas.getValue(ProcessName("c$number"))

    fun start() = replicas.values.forEach { it.start(time.markNow()) }

    fun restart(replica: SimulatedReplica) = replica.start(time.markNow())

    fun run(milliseconds: Long) {
        val end = now + milliseconds
        while (now < end) step()
    }

    fun runUntil(limit: Long, description: String, condition: () -> Boolean) {
        val end = now + limit
        while (!condition()) {
            check(now < end) { "not within $limit ms: $description; ${describe()}" }
            step()
        }
    }

    fun step() {
        now += STEP_MILLISECONDS
        time += STEP_MILLISECONDS.milliseconds
        network.due(now).forEach { delivery ->
            val log = replicas.getValue(delivery.link.receiver).log
            log?.receive(delivery.link.sender, delivery.message, time.markNow())
        }
        replicas.values.forEach { it.log?.tick(time.markNow()) }
        if (injectsFaults) injectFaults()
        replicas.values.filter { it.log == null && now >= it.restartAt }.forEach(::restart)
        val proposes = injectsFaults && random.nextDouble() < faults.proposals
        if (proposes) propose(replicas.values.random(random))
        replicas.values.forEach(::flush)
        checkLeaders()
    }

    /**
     * Ends all faults and waits until all replicas run and have applied all acknowledged commands.
     */
    fun settle() {
        injectsFaults = false
        network.blocked.clear()
        network.lossProbability = 0.0
        network.duplicateProbability = 0.0
        network.longDelayProbability = 0.0
        runUntil(SETTLE_MILLISECONDS, "all replicas are voters") {
            restoreVoters()
            val membership = leader?.log?.takeIf { it.isReady }?.membership ?: Membership.EMPTY
            replicas.values.all { membership.isVoter(it.name, it.identity) }
        }
        val before = checker.newestAcknowledged
        runUntil(SETTLE_MILLISECONDS, "a command is acknowledged after all faults") {
            leader?.let(::propose)
            checker.newestAcknowledged > before
        }
        runUntil(SETTLE_MILLISECONDS, "all replicas have applied everything acknowledged") {
            replicas.values.all { (it.log?.appliedIndex ?: 0) >= checker.newestAcknowledged }
        }
        checkOutcome()
    }

    /** Proposes a command of [size] bytes at least; returns its index if it was accepted. */
    fun propose(replica: SimulatedReplica, size: Int = 0): Long? {
        val log = replica.log ?: return null
        val command = RegisterCommand(nextIdentifier, random.nextInt(3), random.nextBoolean())
        val result = log.propose(command.encode(size), time.markNow())
        if (result !is ProposalResult.Accepted) return null
        nextIdentifier++
        val newest = checker.newestAcknowledged
        replica.pending[result.index] = PendingCommand(result.term, command, newest)
        return result.index
    }

    fun change(change: MembershipChange): ProposalResult? =
        leader?.log?.changeMembership(change, time.markNow())

    fun refusalOf(change: MembershipChange): MembershipRefusal? =
        checkNotNull(leader?.log).refusalOf(change, time.markNow())

    /** Separates [group] from the other replicas in both directions. */
    fun isolate(group: Set<ProcessName>) {
        names.forEach { sender ->
            names.filter { (it in group) != (sender in group) }
                .forEach { network.blocked.add(Link(sender, it)) }
        }
    }

    private fun flush(replica: SimulatedReplica) {
        val log = replica.log ?: return
        val outputs = try {
            log.flush(time.markNow())
        } catch (_: StorageFailureException) {
            crash(replica)
            return
        }
        outputs.forEach { output ->
            when (output) {
                is ConsensusOutput.Send ->
                    network.send(Link(replica.name, output.receiver), output.message, now)

                is ConsensusOutput.Applied -> completePending(replica, output)

                is ConsensusOutput.LeadershipChanged,
                is ConsensusOutput.LeadershipLost,
                is ConsensusOutput.SnapshotInstalled,
                -> Unit
            }
        }
    }

    private fun completePending(replica: SimulatedReplica, output: ConsensusOutput.Applied) {
        val pending = replica.pending.remove(output.index) ?: return
        if (pending.term != output.term) return
        val result = output.result.bytes.decodeToString()
        checker.acknowledge(pending.command, output.index, result, pending.acknowledgedBefore)
    }

    private fun checkLeaders() {
        val leading = replicas.values.mapNotNull { it.log }.filter { it.majorityContact != null }
        val current = leading.filter { log ->
            val contact = log.majorityContact
            contact != null && time.markNow() - contact < ELECTION_TIMEOUT
        }
        check(current.size <= 1) { "two leaders with majority contact: ${describe()}" }
        current.filter { it.isReady }.forEach { checker.readLocally(it.appliedIndex) }
        replicas.values.mapNotNull { it.log }
            .filter { it.role == ConsensusRole.LEADER }
            .forEach { checker.recordLeader(it.term, it.identity) }
    }

    private fun injectFaults() {
        network.lossProbability = faults.loss
        network.duplicateProbability = faults.duplicates
        network.longDelayProbability = faults.longDelays
        if (faults.partition > 0 && now >= partitionEndsAt) network.blocked.clear()
        if (random.nextDouble() < faults.partition) partition()
        if (random.nextDouble() < faults.crash) crashOne()
        if (random.nextDouble() < faults.wipe) wipeOne()
        if (random.nextDouble() < faults.removal) removeOne()
        if (faults.wipe + faults.removal > 0 && now % OPERATOR_MILLISECONDS == 0L) restoreVoters()
    }

    private fun partition() {
        network.blocked.clear()
        partitionEndsAt = now + random.nextLong(200, 4_000)
        val group = names.shuffled(random).take(random.nextInt(1, names.size)).toSet()
        isolate(group)
        if (random.nextInt(3) == 0) network.blocked.removeAll { it.sender in group }
    }

    private fun crashOne() {
        val replica = if (random.nextBoolean()) leader else replicas.values.random(random)
        if (replica?.log == null) return
        if (random.nextBoolean()) {
            replica.crashDuringFlush()
        } else {
            crash(replica)
        }
    }

    private fun crash(replica: SimulatedReplica) {
        replica.crash()
        replica.restartAt = now + random.nextLong(50, 3_000)
    }

    private fun wipeOne() {
        val replica = replicas.values.random(random)
        if (settings.toleratedLosses >
            0
        ) {
            wipeIfTolerated(replica)
        } else {
            wipeIfMajorityRemains(replica)
        }
    }

    /** Wipes the disk of [replica] if at most the tolerated number is then lost or not yet replaced. */
    private fun wipeIfTolerated(replica: SimulatedReplica) {
        val memberships = replicas.values.mapNotNull { it.log?.membership }
            .filter { it != Membership.EMPTY }
        val isFormed = memberships.size > replicas.size / 2
        val missing = replicas.values.filter { other ->
            other == replica || memberships.any { !it.isVoter(other.name, other.identity) }
        }
        if (isFormed && missing.size <= settings.toleratedLosses) wipe(replica)
    }

    private fun wipe(replica: SimulatedReplica) {
        replica.wipe()
        replica.restartAt = now + random.nextLong(50, 2_000)
    }

    /** Wipes a disk only if a majority of the voters of each current membership keep theirs. */
    private fun wipeIfMajorityRemains(replica: SimulatedReplica) {
        val memberships = replicas.values.mapNotNull { it.log?.membership }
        val disks = replicas.values.filter { it != replica }.associate { it.name to it.identity }
        val isTolerable = memberships.size == replicas.size && memberships.all { membership ->
            val intact = membership.voters.count {
                membership.members.getValue(it).identity == disks[it]
            }
            membership.voters.isEmpty() || intact >= membership.majority
        }
        val isFormed = memberships.count { it.voters.isNotEmpty() } > replicas.size / 2
        if (isTolerable && isFormed) wipe(replica)
    }

    /** Removes a voter only while all disks are intact; otherwise no majority might remain. */
    private fun removeOne() {
        val membership = leader?.log?.membership ?: return
        val isIntact = replicas.values.all { membership.isVoter(it.name, it.identity) }
        if (isIntact) change(MembershipChange.Remove(membership.voters.random(random)))
    }

    /**
     * Makes replicas voters again, by the [reconciler] if there is one, otherwise as an operator.
     */
    fun restoreVoters() {
        val log = leader?.log ?: return
        if (reconciler != null) {
            val view = log.memberView(time.markNow()) ?: return
            reconciler.next(view, time.markNow())?.let(::change)
            return
        }
        val members = log.membership.members
        replicas.values.forEach { replica ->
            val member = members[replica.name]
            when {
                member == null ->
                    change(MembershipChange.AddNonVoter(replica.name, replica.identity))

                member.identity != replica.identity ->
                    change(MembershipChange.Remove(replica.name))

                !member.isVoter -> change(MembershipChange.Promote(replica.name))
            }
        }
    }

    private fun checkOutcome() {
        checker.checkResults()
        replicas.values.forEach { replica ->
            val lost = checker.acknowledgedIdentifiers - replica.machine.appliedIdentifiers
            check(lost.isEmpty()) { "${replica.name} lacks acknowledged commands $lost" }
        }
    }

    private fun describe(): String = replicas.values.joinToString { replica ->
        val log = replica.log
        val state = log?.run { "$role term=$term applied=$appliedIndex ${membership.voters}" }
        "${replica.name}: ${state ?: "down"}"
    }

    private companion object {
        const val STEP_MILLISECONDS = 5L
        const val OPERATOR_MILLISECONDS = 200L
        const val SETTLE_MILLISECONDS = 60_000L
        val ELECTION_TIMEOUT = 600.milliseconds
    }
}
