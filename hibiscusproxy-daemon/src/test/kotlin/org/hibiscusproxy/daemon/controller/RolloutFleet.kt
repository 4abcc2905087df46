package org.hibiscusproxy.daemon.controller

import java.util.concurrent.CompletableFuture
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.ForwardingService
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.EntryLoad
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.RoutingChange
import org.hibiscusproxy.protocol.RoutingCurrent
import org.hibiscusproxy.protocol.RoutingRequest
import org.hibiscusproxy.protocol.RoutingUpdate
import org.hibiscusproxy.protocol.TargetUse
import org.hibiscusproxy.rollout.Rollout
import org.hibiscusproxy.rollout.RolloutPhase
import org.hibiscusproxy.rollout.VersionEvidence

/**
 * Three controllers, forwarders that send requests by the phase they know and report to the leader,
 * and an operator, in virtual time over a network that loses and delays messages.
 *
 * @param failureShare share of failed answers of the version under trial
 */
internal class RolloutFleet(seed: Int, private val failureShare: Double = 0.0) {
    val random = Random(seed)
    private val network = LossyNetwork(random)
    private val names = (1..3).map { ProcessName("c$it") }
    private val controllers: List<SimulatedController> = names.map { name ->
        val membership = ControllerMembership.Automatic(toleratedLosses = 1)
        SimulatedController(name, { names }, network, membership, peer = ::controller)
    }
    private val forwarders = List(FORWARDERS) { Forwarder(it) }
    private var listedAt = Duration.ZERO

    /** Targets that the platform lists. */
    var targets = listOf(target("old-1", "v1"), target("old-2", "v1"))

    /** Whether a request of an earlier version never ends. */
    var hasEndlessRequest = false

    val elapsed: Duration get() = network.elapsed()
    val leader: SimulatedController? get() = controllers.firstOrNull {
        it.isRunning && it.isLeading
    }

    private fun controller(name: ProcessName) = controllers[names.indexOf(name)]

    fun run(duration: Duration) {
        val end = elapsed + duration
        while (elapsed < end) {
            network.advance(STEP)
            if (elapsed - listedAt >= 1.seconds) {
                listedAt = elapsed
                controllers.forEach { it.targets(targets) }
            }
            controllers.forEach { it.advance() }
            forwarders.forEach { it.advance() }
        }
    }

    /** Runs until [condition] holds, at most for [limit]; returns whether it does. */
    fun runUntil(limit: Duration = 20.seconds, condition: () -> Boolean): Boolean {
        val end = elapsed + limit
        while (elapsed < end && !condition()) run(STEP)
        return condition()
    }

    fun publish() {
        val configuration =
            RoutingConfiguration(1, services = listOf(ForwardingService(SERVICE, "/health", 10)))
        check(call { RoutingCall.Publish(configuration, Payload.of("{}")) } == RoutingReply.Done)
    }

    /** Calls the leader until it answers. */
    fun call(build: () -> RoutingCall): RoutingReply {
        repeat(20) {
            val reply: CompletableFuture<RoutingReply>? = leader?.routing(build())
            if (runUntil(1_500.milliseconds) { reply?.isDone == true }) {
                val answer = checkNotNull(reply).get()
                val isFinal =
                    answer !is RoutingReply.NotLeader && answer != RoutingReply.Unconfirmed
                if (isFinal) return answer
            }
        }
        error("no controller answered")
    }

    fun order(version: String = "v2", duration: Duration = DURATION): RoutingReply =
        call { RoutingCall.StartRollout(SERVICE, SoftwareVersion(version), duration) }

    fun read(): Rollout? =
        (call { RoutingCall.ReadRollout(SERVICE) } as RoutingReply.LatestRollout).rollout

    /** Starts a rollout whose targets are listed. */
    fun start() {
        runUntil { leader != null }
        publish()
        check(order() == RoutingReply.Done)
        targets = targets + target("new-1", "v2") + target("new-2", "v2")
    }

    /** Stops the leader; it starts again after [pause], without its disk if [isWiped]. */
    fun restartLeader(pause: Duration, isWiped: Boolean = false) {
        runUntil { leader != null }
        val former = checkNotNull(leader)
        if (isWiped) former.wipe() else former.stop()
        run(pause)
        former.start()
    }

    fun losePower(pause: Duration) {
        controllers.forEach { it.stop() }
        run(pause)
        controllers.forEach { it.start() }
    }

    private inner class Forwarder(number: Int) {
        private val hello =
            Hello(ProcessName("f$number"), DataCenterName("lj"), Incarnation(1))
        private val sessions = HashMap<ProcessName, Pair<Int, PeerSession>>()
        private var leading: ProcessName? = null
        private var revision = 0L
        private var rollout: Rollout? = null
        private var reportedAt = Duration.ZERO
        private var due = 0.0
        private val counts = HashMap<TargetName?, IntArray>()

        fun advance() {
            controllers.filter { it.isRunning }.forEach(::connect)
            due += RATE * STEP.inWholeMilliseconds / 1_000
            while (due >= 1) {
                due -= 1
                request()
            }
            if (elapsed - reportedAt < 250.milliseconds) return
            reportedAt = elapsed
            val leader = leading?.let(::controller)?.takeIf { it.isRunning } ?: return
            val session = sessions[leader.name]?.second ?: return
            val load = load()
            network.send { leader.receive(session, load) }
        }

        private fun connect(controller: SimulatedController) {
            if (sessions[controller.name]?.first == controller.incarnation) return
            lateinit var session: PeerSession
            session = LossySession(hello, network) { receive(controller, session, it) }
            sessions[controller.name] = controller.incarnation to session
            controller.receive(session, RoutingRequest(revision))
        }

        private fun receive(
            controller: SimulatedController,
            session: PeerSession,
            message: PeerMessage,
        ) {
            when (message) {
                is RoutingUpdate -> apply(message.revision, message.rollouts)

                is RoutingChange ->
                    if (message.base == revision) apply(message.revision, message.rollouts)

                is RoutingCurrent -> {
                    if (message.isLeading) leading = controller.name
                    val request = RoutingRequest(revision)
                    if (message.revision > revision) {
                        network.send { controller.receive(session, request) }
                    }
                }

                else -> Unit
            }
        }

        private fun apply(newRevision: Long, rollouts: List<Rollout>) {
            if (newRevision <= revision) return
            revision = newRevision
            val latest = rollouts.firstOrNull()
            if (latest?.number != rollout?.number) counts.clear()
            rollout = latest
        }

        private fun request() {
            val share = when (rollout?.phase) {
                null, RolloutPhase.ROLLED_BACK -> 0.0
                RolloutPhase.TRIAL -> 0.06
                RolloutPhase.EXPANDING -> 0.5
                RolloutPhase.MOVING, RolloutPhase.COMPLETED -> 1.0
            }
            val listed = targets.filter { it.version == SoftwareVersion("v2") }
            val target = listed.randomOrNull(random)?.takeIf { random.nextDouble() < share }?.name
            val isFailure = target != null && random.nextDouble() < failureShare
            counts.getOrPut(target) { IntArray(2) }[if (isFailure) 1 else 0] += 1
        }

        private fun load() = EntryLoad(
            uses = listOf(TargetUse(TargetName("old-1"), 1)).filter { hasEndlessRequest },
            revision = revision,
            evidence = counts.map { (target, count) ->
                VersionEvidence(rollout?.number ?: 0, "r", target, count[0], count[1])
            },
        )
    }

    companion object {
        val SERVICE = ServiceName("s")
        val DURATION = 12.seconds
        private const val FORWARDERS = 3

        /** Requests a second of one forwarder. */
        private const val RATE = 40.0
        private val STEP = 20.milliseconds

        fun target(name: String, version: String) = DiscoveredTarget(
            TargetName(name),
            SERVICE,
            NetworkAddress("127.0.0.1", 1),
            DataCenterName("lj"),
            isLeaving = false,
            slots = 10,
            version = SoftwareVersion(version),
        )
    }
}
