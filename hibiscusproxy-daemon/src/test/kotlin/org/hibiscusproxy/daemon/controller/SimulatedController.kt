package org.hibiscusproxy.daemon.controller

import com.github.michaelbull.result.getOrThrow
import java.util.concurrent.CompletableFuture
import org.hibiscusproxy.consensus.Membership
import org.hibiscusproxy.consensus.MemoryLogStorage
import org.hibiscusproxy.consensus.ReplicatedLog
import org.hibiscusproxy.consensus.ReplicatedLogSettings
import org.hibiscusproxy.consensus.StorageFailureException
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.control.LeaseSettings
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.ControlMessage
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.timeline.FleetEvent

/**
 * A controller in a simulation that can be stopped, wiped and partitioned from the others.
 *
 * @param bootstrap returns the controllers that the settings name at a start
 */
internal class SimulatedController(
    val name: ProcessName,
    private val bootstrap: () -> List<ProcessName>,
    private val network: LossyNetwork,
    private val membership: ControllerMembership =
        ControllerMembership.Listed(bootstrap().toSet() - name),
    private val mayFound: Boolean = true,
    private val peer: (ProcessName) -> SimulatedController?,
) {
    /** Events that this controller recorded. */
    val events = mutableListOf<FleetEvent>()
    private var storage = emptyStorage()
    private lateinit var log: ReplicatedLog
    private var core = open()

    var isRunning = true
        private set

    /** Number of starts. */
    var incarnation = 1
        private set

    /** Whether all messages between this controller and the others are dropped. */
    var isPartitioned = false

    val isLeading: Boolean get() = core.isLeading

    private fun open(): ControllerCore {
        val state = ControlState()
        val settings = ReplicatedLogSettings(
            name,
            bootstrap(),
            mayFound,
            snapshotEntries = 50,
            trailingEntries = 5,
            toleratedLosses =
            if (membership.reconciler == null) 0 else membership.toleratedLosses,
        )
        log =
            ReplicatedLog.open(settings, storage, state, network.random, network.time.markNow())
                .getOrThrow { IllegalStateException(it.message) }
        return ControllerCore(
            name,
            log,
            state,
            LeaseSettings(),
            network.time,
            events::add,
            membership,
            ::sendToPeer,
        )
    }

    private fun emptyStorage() =
        FillableStorage(MemoryLogStorage(network.random.nextLong()), network.random)

    /** Whether the disk takes no more bytes; the process then ends with its next write. */
    var isDiskFull: Boolean
        get() = storage.isFull
        set(value) {
            storage.isFull = value
        }

    /** Identity that its disk gives this controller. */
    val identity: Long get() = log.identity

    val members: Membership get() = log.membership

    override fun toString(): String {
        val members = log.membership.members.entries
            .joinToString { (name, member) -> "$name${if (member.isVoter) "" else "?"}" }
        return "$name ${if (isRunning) log.role else "DOWN"} of $members, " +
            "term ${log.term}, commit ${log.commitIndex}"
    }

    fun restart() {
        stop()
        start()
    }

    /** Loses power; what was not synced is lost. */
    fun stop() {
        if (isRunning) storage.crash()
        isRunning = false
    }

    /** Loses power and the disk. */
    fun wipe() {
        stop()
        storage = emptyStorage()
    }

    fun start() {
        if (isRunning) return
        core = open()
        incarnation += 1
        isRunning = true
    }

    fun advance() {
        if (!isRunning) return
        try {
            core.advance()
        } catch (_: StorageFailureException) {
            stop()
        }
    }

    fun receive(session: PeerSession, message: PeerMessage) {
        if (isRunning) core.handle(ControllerInput.Received(session, message))
    }

    fun routing(call: RoutingCall): CompletableFuture<RoutingReply> {
        val reply = CompletableFuture<RoutingReply>()
        if (isRunning) core.handle(ControllerInput.Routing(call, reply))
        return reply
    }

    fun targets(targets: List<DiscoveredTarget>) {
        if (isRunning) core.handle(ControllerInput.Targets(targets, network.time.markNow()))
    }

    fun operator(request: OperatorRequest): CompletableFuture<OperatorReply> {
        val reply = CompletableFuture<OperatorReply>()
        core.handle(ControllerInput.Operator(request, reply))
        return reply
    }

    private fun sendToPeer(receiver: ProcessName, message: ControlMessage) {
        val other = peer(receiver) ?: return
        if (isPartitioned || other.isPartitioned) return
        val hello = Hello(name, DataCenterName("lj"), Incarnation(1))
        val session = LossySession(hello, network) { }
        network.send { if (!isPartitioned && !other.isPartitioned) other.receive(session, message) }
    }
}
