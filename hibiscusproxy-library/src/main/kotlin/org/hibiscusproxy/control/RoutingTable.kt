package org.hibiscusproxy.control

import kotlinx.serialization.Serializable
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.rollout.Rollout

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
)

/**
 * Replicated routing state. The configuration with the highest version wins. An equal or lower
 * version and a repeated drain command have no effect, so duplicate and late commands are harmless.
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

    fun restore(snapshot: RoutingState) {
        state = snapshot
    }
}
