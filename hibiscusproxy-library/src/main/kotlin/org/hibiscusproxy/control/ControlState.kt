package org.hibiscusproxy.control

import kotlin.time.Duration
import org.hibiscusproxy.consensus.StateMachine
import org.hibiscusproxy.forwarding.RegisteredVersions
import org.hibiscusproxy.forwarding.ServiceVersion
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.Payload

/**
 * State machine replicated between the controllers: objects, states of data centres and targets,
 * change identifiers, fencing numbers, claims, crash counts, routing, refusals and the
 * versions that began streams. Results depend only on the
 * applied commands. Not thread-safe; confined to the worker that owns the consensus replica.
 */
class ControlState(private val limits: ControlLimits = ControlLimits()) : StateMachine {
    private val fleetTable = FleetTable()
    private val changes = ChangeTable(limits)
    private val claims = ClaimTable(limits)
    private val crashes = CrashTable(limits)
    private val refusals = RefusalTable(limits)
    private val fencing = LinkedHashMap<TargetName, FencingRecord>()
    private val routingTable = RoutingTable()
    private val streams = StreamTable(limits)
    private var lastFencingNumber = 0L

    /** Latest time of any applied command. */
    var clock: FleetInstant = FleetInstant.ZERO
        private set

    /** The effective objects and operational states. */
    val fleet: FleetState get() = fleetTable.state

    /** Routes, teams' keys and drained data centres for the forwarders. */
    val routing: RoutingState get() = routingTable.state

    /** Targets taken out by the platform's list and not returned by it or by an operator. */
    val targetsOutByPlatform: Set<TargetName> get() = fleetTable.outByPlatform

    /** Whether any target was ever removed from the published objects. */
    val hasRemovedTargets: Boolean get() = fleetTable.hasRemovedTargets

    /** Number of stored claims. */
    val claimCount: Int get() = claims.size

    /** Earliest time at which an [Expire] command would remove anything. */
    val nextExpiry: FleetInstant?
        get() = listOfNotNull(
            claims.nextExpiry(),
            changes.nextExpiry(),
            crashes.nextExpiry(),
            refusals.nextExpiry(),
            streams.nextExpiry(),
        ).minOrNull()

    /** Original outcome of [change], or null if it is unknown or has expired. */
    fun outcomeOf(change: ChangeIdentifier): ChangeOutcome? = changes.outcomeOf(change)

    /** Fencing number of the target's sidecar if [incarnation] is its current one, else null. */
    fun fencingNumber(target: TargetName, incarnation: Incarnation): Long? =
        fencing[target]?.takeIf { it.incarnation == incarnation }?.number

    /** Incarnation of the target's sidecar that last got a fencing number. */
    fun presentIncarnation(target: TargetName): Incarnation? = fencing[target]?.incarnation

    /** Fingerprints refused at [now], with the remaining time of each refusal. */
    fun refusedFingerprints(now: FleetInstant): Map<Fingerprint, Duration> = crashes.refused(now)

    /** Requests that forwarders refuse at [now], because they crash targets. */
    fun refusals(now: FleetInstant): List<ActiveRefusal> = refusals.active(now)

    /** Causes of crashes that forwarders refuse, or refused until recently. */
    val knownCrashCauses: Set<Set<Fingerprint>> get() = refusals.known

    /** Versions at which streams may have begun that callers may still take up. */
    val registeredVersions: RegisteredVersions get() = streams.registered

    /** Whether a [RegisterVersions] command with [listed] at [now] changes anything. */
    fun needsRegistration(listed: Set<ServiceVersion>, now: FleetInstant): Boolean =
        streams.needsRegistration(listed, now)

    /** Version that began [stream], or null if it is not stored. */
    fun streamOrigin(stream: Fingerprint): ServiceVersion? = streams.origin(stream)

    /**
     * @throws IllegalArgumentException if the command cannot be decoded. The replica then stops,
     *   because skipping the command would let replicas of different program versions diverge.
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

            is RefuseRequests -> {
                command.causes.forEach { refusals.refuse(it, clock) }
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

            is StartRollout ->
                ControlResult.RolloutOrder(routingTable.startRollout(command, clock))

            is AdvanceRollout -> {
                routingTable.advanceRollout(command)
                ControlResult.Done
            }

            is RegisterVersions -> {
                streams.register(command.listed, clock)
                ControlResult.Done
            }

            is RecordStreams -> {
                streams.record(command.groups, clock)
                ControlResult.Done
            }

            is Expire -> expire()
        }
    }

    private fun change(command: ChangeCommand): ChangeOutcome {
        changes.outcomeOfResend(command)?.let { return it }
        val outcome = fleetTable.apply(command)
        // The faults of inconsistent objects depend only on their content, so they aren't recorded.
        if (outcome !is ChangeOutcome.Invalid) changes.record(command, outcome, clock)
        if (command is ChangeCommand.PublishObjects) dropFencingOfRemovedTargets()
        return outcome
    }

    private fun complete(command: CompleteClaim): ControlResult {
        val accepted = claims.complete(command.key, command.attempt, command.answer, clock)
        return ControlResult.ClaimAcknowledged(accepted)
    }

    /** All targets share one counter, so a target removed and added again gets a higher number. */
    private fun allocate(command: AllocateFencingNumber): ControlResult {
        if (fleet.objects.targets.none { it.name == command.target }) {
            return ControlResult.UnknownTarget
        }
        val current = fencing[command.target]
        if (current != null && current.incarnation.value > command.incarnation.value) {
            return ControlResult.OldIncarnation
        }
        if (current?.incarnation == command.incarnation) {
            return ControlResult.FencingNumber(current.number)
        }
        lastFencingNumber += 1
        fencing[command.target] =
            FencingRecord(command.target, command.incarnation, lastFencingNumber)
        return ControlResult.FencingNumber(lastFencingNumber)
    }

    private fun dropFencingOfRemovedTargets() {
        val published = fleet.objects.targets.mapTo(HashSet()) { it.name }
        fencing.keys.retainAll(published)
    }

    private fun expire(): ControlResult {
        claims.expire(clock)
        changes.expire(clock)
        crashes.expire(clock)
        refusals.expire(clock)
        streams.expire(clock)
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
            refusals = refusals.snapshot(),
            streams = streams.snapshot(),
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
        refusals.restore(decoded.refusals)
        streams.restore(decoded.streams)
    }
}
