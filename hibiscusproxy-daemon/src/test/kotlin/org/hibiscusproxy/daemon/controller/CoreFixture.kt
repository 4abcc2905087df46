package org.hibiscusproxy.daemon.controller

import com.github.michaelbull.result.getOrThrow
import java.util.concurrent.CompletableFuture
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.consensus.MemoryLogStorage
import org.hibiscusproxy.consensus.ReplicatedLog
import org.hibiscusproxy.consensus.ReplicatedLogSettings
import org.hibiscusproxy.control.ChangeCommand
import org.hibiscusproxy.control.ChangeIdentifier
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.control.LeaseSettings
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.PeerMessage

/** A controller core without sockets or threads, in virtual time. */
internal class CoreFixture(
    private val peers: Set<String> = emptySet(),
    private val time: TestTimeSource = TestTimeSource(),
) {
    private val name = ProcessName("c1")
    val state = ControlState()
    private val log = ReplicatedLog.open(
        ReplicatedLogSettings(name, listOf(name) + peers.map(::ProcessName)),
        MemoryLogStorage(1),
        state,
        Random(1),
        time.markNow(),
    ).getOrThrow { IllegalStateException(it.message) }
    private val core = ControllerCore(
        name,
        log,
        state,
        LeaseSettings(),
        time,
        { },
        ControllerMembership.Listed(peers.mapTo(HashSet(), ::ProcessName)),
        { _, _ -> },
    )

    /** Advances time by [duration], one tick at a time. */
    fun elapse(duration: Duration) = apply {
        val end = time.markNow() + duration
        while (time.markNow() < end) {
            time += 20.milliseconds
            core.advance()
        }
    }

    fun publish(objects: FleetObjects = ControllerFixture.objects) = operator(
        OperatorRequest.Change(Duration.ZERO) { at ->
            ChangeCommand.PublishObjects(ChangeIdentifier("publish"), 0, objects, at)
        },
    )

    fun operator(request: OperatorRequest): OperatorReply = submit(request).getNow(null)

    /** Submits [request], whose answer may come later. */
    fun submit(request: OperatorRequest): CompletableFuture<OperatorReply> {
        val reply = CompletableFuture<OperatorReply>()
        core.handle(ControllerInput.Operator(request, reply))
        core.advance()
        return reply
    }

    fun platform(version: Long, vararg instances: PlatformInstance) {
        core.handle(ControllerInput.Platform(InstanceList(version, instances.toList())))
        core.advance()
    }

    fun targets(targets: List<DiscoveredTarget>) {
        core.handle(ControllerInput.Targets(targets, time.markNow()))
        core.advance()
    }

    fun session(process: String, target: String? = null, incarnation: Long = 1) = RecordingSession(
        Hello(
            ProcessName(process),
            DataCenterName("lj"),
            Incarnation(incarnation),
            target?.let(::TargetName),
        ),
    )

    /** Delivers [message] from [session] and returns the messages sent back in response. */
    fun deliver(session: RecordingSession, message: PeerMessage): List<PeerMessage> {
        session.received.clear()
        core.handle(ControllerInput.Received(session, message))
        core.advance()
        return session.received.toList()
    }
}

/** Records the messages that the controller sends. */
internal class RecordingSession(override val remote: Hello) : PeerSession {
    val received = mutableListOf<PeerMessage>()
    var isClosed = false

    override fun send(message: PeerMessage) {
        received += message
    }

    override fun close() {
        isClosed = true
    }
}
