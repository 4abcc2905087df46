package org.hibiscusproxy.control

import kotlinx.serialization.Serializable
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.protocol.Payload

/**
 * Routing as the controllers hold it.
 *
 * @property revision grows with each effective change; processes never go back to a lower one
 * @property document the configuration as its author sent it, for reading it back
 * @property drained data centres whose targets get no new work
 */
@Serializable
data class RoutingState(
    val revision: Long = 0,
    val configuration: RoutingConfiguration? = null,
    val document: Payload? = null,
    val drained: Set<DataCenterName> = emptySet(),
)

/**
 * The replicated routing. The highest version of a configuration wins; an equal or lower one and a
 * repeated order change nothing, so that resends and late copies are harmless.
 */
internal class RoutingTable {
    var state = RoutingState()
        private set

    fun publish(command: PublishRouting) {
        val held = state.configuration
        if (held != null && command.configuration.version <= held.version) return
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
