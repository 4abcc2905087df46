package org.hibiscusproxy.control

import kotlin.time.Duration
import org.hibiscusproxy.consensus.StateMachine
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.Payload

/**
 * The state that the controllers replicate: objects, data centre and target states, change
 * identifiers, fencing numbers, claims and crash counts. Results depend on the commands alone.
 * Not safe for concurrent use; the worker that owns the consensus replica owns this too.
 */
class ControlState(private val limits: ControlLimits = ControlLimits()) : StateMachine {
    private val fleetTable = FleetTable()
    private val changes = ChangeTable(limits)
    private val claims = ClaimTable(limits)
    private val crashes = CrashTable(limits)
    private val fencing = LinkedHashMap<TargetName, FencingRecord>()
    private val routingTable = RoutingTable()
    private var lastFencingNumber = 0L

    /** Newest time of an applied command. */
    var clock: FleetInstant = FleetInstant.ZERO
        private set

    /** What is effective in the fleet. */
    val fleet: FleetState get() = fleetTable.state

    /** Routes, teams' keys and drained data centres for entries that forward by host and path. */
    val routing: RoutingState get() = routingTable.state

    /** Targets that the platform's list took out and neither it nor an operator returned. */
    val targetsOutByPlatform: Set<TargetName> get() = fleetTable.outByPlatform

    /** Whether any target was ever removed from the published objects. */
    val hasRemovedTargets: Boolean get() = fleetTable.hasRemovedTargets

    /** Number of claims remembered. */
    val claimCount: Int get() = claims.size

    /** Earliest time at which an [Expire] command would forget something. */
    val nextExpiry: FleetInstant?
        get() = listOfNotNull(claims.nextExpiry(), changes.nextExpiry(), crashes.nextExpiry())
            .minOrNull()

    /** The first answer to [change], while it is remembered. */
    fun outcomeOf(change: ChangeIdentifier): ChangeOutcome? = changes.outcomeOf(change)

    /** Fencing number of [incarnation] of the target's sidecar, when it is the present one. */
    fun fencingNumber(target: TargetName, incarnation: Incarnation): Long? =
        fencing[target]?.takeIf { it.incarnation == incarnation }?.number

    /** Incarnation of the target's sidecar that was given a fencing number last. */
    fun presentIncarnation(target: TargetName): Incarnation? = fencing[target]?.incarnation

    /** Fingerprints refused at [now], with the time for which each still is. */
    fun refusedFingerprints(now: FleetInstant): Map<Fingerprint, Duration> = crashes.refused(now)

    /**
     * @throws IllegalArgumentException when the command cannot be decoded. Skipping it would let
     *   replicas of different program versions diverge, so the replica stops instead.
     */
    override fun apply(index: Long, command: Payload): Payload {
        val decoded = ControlCodec.decodeCommand(command)
        return ControlCodec.encode(apply(decoded))
    }

    private fun apply(command: ControlCommand): ControlResult {
        clock = maxOf(clock, command.at)
        return when (command) {
            is ChangeCommand -> ControlResult.Change(change(command))
            is AllocateFencingNumber -> allocate(command)
            is ClaimAttempt -> ControlResult.Claim(claims.claim(command, clock))
            is ReleaseClaim ->
                ControlResult.ClaimAcknowledged(claims.release(command.key, command.attempt, clock))

            is CompleteClaim -> complete(command)
            is RecordCrash -> {
                crashes.record(command.target, command.fingerprints, clock)
                ControlResult.Done
            }

            is PublishRouting -> {
                routingTable.publish(command)
                ControlResult.Done
            }

            is SetDrained -> {
                routingTable.setDrained(command)
                ControlResult.Done
            }

            is Expire -> expire()
        }
    }

    private fun change(command: ChangeCommand): ChangeOutcome {
        changes.answerToResend(command)?.let { return it }
        val outcome = fleetTable.apply(command)
        // The verdict on inconsistent objects follows from the content, so that it is not kept.
        if (outcome !is ChangeOutcome.Invalid) changes.record(command, outcome, clock)
        if (command is ChangeCommand.PublishObjects) forgetRemovedTargets()
        return outcome
    }

    private fun complete(command: CompleteClaim): ControlResult {
        val accepted = claims.complete(command.key, command.attempt, command.answer, clock)
        return ControlResult.ClaimAcknowledged(accepted)
    }

    /** Numbers come from one counter, so that a target removed and added again gets a higher one. */
    private fun allocate(command: AllocateFencingNumber): ControlResult {
        if (fleet.objects.targets.none { it.name == command.target }) {
            return ControlResult.UnknownTarget
        }
        val present = fencing[command.target]
        if (present != null && present.incarnation.value > command.incarnation.value) {
            return ControlResult.OldIncarnation
        }
        if (present?.incarnation == command.incarnation) {
            return ControlResult.FencingNumber(present.number)
        }
        lastFencingNumber += 1
        fencing[command.target] =
            FencingRecord(command.target, command.incarnation, lastFencingNumber)
        return ControlResult.FencingNumber(lastFencingNumber)
    }

    private fun forgetRemovedTargets() {
        val published = fleet.objects.targets.mapTo(HashSet()) { it.name }
        fencing.keys.retainAll(published)
    }

    private fun expire(): ControlResult {
        claims.expire(clock)
        changes.expire(clock)
        crashes.expire(clock)
        return ControlResult.Done
    }

    override fun snapshot(): Payload = ControlCodec.encode(
        ControlSnapshot(
            clock = clock,
            fleet = fleetTable.snapshot(),
            changes = changes.snapshot(),
            lastFencingNumber = lastFencingNumber,
            fencing = fencing.values.toList(),
            claims = claims.snapshot(),
            crashes = crashes.snapshot(),
            routing = routingTable.state,
        ),
    )

    override fun restore(snapshot: Payload) {
        val decoded = ControlCodec.decodeSnapshot(snapshot)
        clock = decoded.clock
        fleetTable.restore(decoded.fleet)
        changes.restore(decoded.changes)
        lastFencingNumber = decoded.lastFencingNumber
        fencing.clear()
        decoded.fencing.associateByTo(fencing) { it.target }
        claims.restore(decoded.claims)
        crashes.restore(decoded.crashes)
        routingTable.restore(decoded.routing)
    }
}
