package org.hibiscusproxy.control

import kotlinx.serialization.Serializable
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.rollout.Rollout
import org.hibiscusproxy.rollout.RolloutPhase

/**
 * Routing state stored by the controllers.
 *
 * @property revision incremented by each effective change; processes never return to a lower one
 * @property document the configuration as its author sent it, returned on read
 * @property drained data centres whose targets get no new work
 * @property rollouts the latest rollout of each service
 */
@Serializable
data class RoutingState(
    val revision: Long = 0,
    val configuration: RoutingConfiguration? = null,
    val document: Payload? = null,
    val drained: Set<DataCenterName> = emptySet(),
    val rollouts: List<Rollout> = emptyList(),
) {
    /** Returns the latest rollout of [service], or null if it never had one. */
    fun rollout(service: ServiceName): Rollout? = rollouts.firstOrNull { it.service == service }
}

/**
 * Replicated routing state. The configuration with the highest version wins. An equal or lower
 * version, a repeated drain command, a repeated order of a rollout and a change of a rollout that
 * ended have no effect, so duplicate and late commands are harmless.
 */
internal class RoutingTable {
    var state = RoutingState()
        private set

    fun publish(command: PublishRouting) {
        val current = state.configuration
        if (current != null && command.configuration.version <= current.version) return
        state = state.copy(
            revision = state.revision + 1,
            configuration = command.configuration,
            document = command.document,
        )
    }

    fun setDrained(command: SetDrained) {
        val name = command.dataCenter
        val next = if (command.isDrained) state.drained + name else state.drained - name
        if (next == state.drained) return
        state = state.copy(revision = state.revision + 1, drained = next)
    }

    /** Starts the rollout that [command] orders at [now], unless it is a resend or conflicts. */
    fun startRollout(command: StartRollout, now: FleetInstant): RolloutOutcome {
        val last = state.rollout(command.service)
        if (last != null) {
            if (last.isOrderedBy(command, now)) return RolloutOutcome.Accepted(last)
            if (last.phase.isRunning) return RolloutOutcome.Conflict(last)
        }
        val configuration = state.configuration ?: return RolloutOutcome.NoConfiguration
        if (configuration.services.none { it.name == command.service }) {
            return RolloutOutcome.UnknownService
        }
        val started = Rollout(
            command.service,
            // The latest rollout of all services is never removed, so no number is used again.
            number = (state.rollouts.maxOfOrNull { it.number } ?: 0) + 1,
            command.version,
            orderedAt = now,
            command.durationMilliseconds,
            RolloutPhase.TRIAL,
            "ordered",
        )
        replace(started)
        return RolloutOutcome.Accepted(started)
    }

    fun advanceRollout(command: AdvanceRollout) {
        val current = state.rollout(command.service) ?: return
        if (current.number != command.number || !current.phase.isRunning) return
        if (command.phase <= current.phase) return
        replace(current.copy(phase = command.phase, reason = command.reason))
    }

    private fun replace(rollout: Rollout) {
        val others = state.rollouts.filter { it.service != rollout.service }
        state = state.copy(revision = state.revision + 1, rollouts = others + rollout)
    }

    /** Whether [command] asks for nothing else than this rollout, as a resend or afterwards. */
    private fun Rollout.isOrderedBy(command: StartRollout, now: FleetInstant): Boolean {
        if (version != command.version) return false
        if (phase == RolloutPhase.COMPLETED) return true
        val isEqual = durationMilliseconds == command.durationMilliseconds
        return isEqual && (phase.isRunning || now <= deadline)
    }

    fun restore(snapshot: RoutingState) {
        state = snapshot
    }
}
