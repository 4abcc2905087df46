package org.hibiscusproxy.daemon.controller

import com.github.michaelbull.result.getOrThrow
import java.util.concurrent.CompletableFuture
import org.hibiscusproxy.consensus.MemoryLogStorage
import org.hibiscusproxy.consensus.ReplicatedLog
import org.hibiscusproxy.consensus.ReplicatedLogSettings
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.control.LeaseSettings
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.ControlMessage
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.PeerMessage

/** A controller in a [ControllerSimulation] that can be restarted or partitioned from the others. */
internal class SimulatedController(
    val name: ProcessName,
    private val names: List<ProcessName>,
    private val network: LossyNetwork,
    private val peer: (ProcessName) -> SimulatedController,
) {
    private val storage = MemoryLogStorage(names.indexOf(name) + 1L)
    private var core = open()

    /** Whether all messages between this controller and the others are dropped. */
    var isPartitioned = false

    val isLeading: Boolean get() = core.isLeading

    private fun open(): ControllerCore {
        val state = ControlState()
        val settings = ReplicatedLogSettings(name, names, snapshotEntries = 50, trailingEntries = 5)
        val log =
            ReplicatedLog.open(settings, storage, state, network.random, network.time.markNow())
                .getOrThrow { IllegalStateException(it.message) }
        return ControllerCore(
            name,
            log,
            state,
            LeaseSettings(),
            network.time,
            { },
            ControllerMembership.Listed(names.toSet() - name),
            ::sendToPeer,
        )
    }

    fun restart() {
        storage.crash(network.random)
        core = open()
    }

    fun advance() = core.advance()

    fun receive(session: PeerSession, message: PeerMessage) =
        core.handle(ControllerInput.Received(session, message))

    fun operator(request: OperatorRequest): CompletableFuture<OperatorReply> {
        val reply = CompletableFuture<OperatorReply>()
        core.handle(ControllerInput.Operator(request, reply))
        return reply
    }

    private fun sendToPeer(receiver: ProcessName, message: ControlMessage) {
        val other = peer(receiver)
        if (isPartitioned || other.isPartitioned) return
        val hello = Hello(name, DataCenterName("lj"), Incarnation(1))
        val session = LossySession(hello, network) { }
        network.send { if (!isPartitioned && !other.isPartitioned) other.receive(session, message) }
    }
}
