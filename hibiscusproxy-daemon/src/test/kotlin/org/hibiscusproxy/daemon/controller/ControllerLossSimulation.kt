package org.hibiscusproxy.daemon.controller

import java.util.concurrent.CompletableFuture
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.RoutingChange
import org.hibiscusproxy.protocol.RoutingCurrent
import org.hibiscusproxy.protocol.RoutingRequest
import org.hibiscusproxy.protocol.RoutingUpdate

/**
 * Three controllers that add and remove members themselves, entries that follow all of them, and an
 * operator who publishes versions throughout, in virtual time. Controllers are replaced, lose their
 * disks and power, and are cut off; one is lost at a time,
 * some seconds after the repair of the one before.
 */
internal class ControllerLossSimulation(seed: Int) {
    val random = Random(seed)
    private val network = LossyNetwork(random)
    private var bootstrap = (1..3).map { ProcessName("c$it") }
    private val controllers = LinkedHashMap<ProcessName, SimulatedController>()
    private val entries = List(ENTRIES) { Entry(it) }
    private val publications = ArrayList<Pair<Long, CompletableFuture<RoutingReply>>>()
    private var publishedVersion = 0L
    private var publishedAt = Duration.ZERO

    /** Whether the operator publishes versions. */
    var isPublishing = true

    private val faults = ArrayList<String>()

    /** Faults after which not all running controllers became voters in time. */
    val unrepaired = ArrayList<String>()

    /** Times from the end of a fault until all running controllers were voters. */
    val repairTimes = ArrayList<Duration>()

    /** Highest acknowledged version. */
    var acknowledged = 0L
        private set

    /** Entries that began to serve with a version older than one acknowledged before their start. */
    val reverted = ArrayList<String>()

    init {
        bootstrap.toList().forEach { add(it, mayFound = true) }
        entries.forEach { it.restart() }
    }

    private val running get() = controllers.values.filter { it.isRunning }

    val leader: SimulatedController? get() = running.firstOrNull { it.isLeading }

    private fun add(name: ProcessName, mayFound: Boolean): SimulatedController {
        val controller = SimulatedController(
            name,
            { bootstrap },
            network,
            ControllerMembership.Automatic(toleratedLosses = 1),
            mayFound,
        ) { controllers[it] }
        controllers[name] = controller
        return controller
    }

    fun run(duration: Duration) {
        val end = network.elapsed() + duration
        while (network.elapsed() < end) step()
    }

    /** Loses [controller] for good; an empty one with another name starts after [delay]. */
    fun replace(controller: SimulatedController, delay: Duration = 1.seconds): SimulatedController {
        faults += "${network.elapsed()} replace ${controller.name} $delay"
        controller.stop()
        run(delay)
        val replacement = ProcessName("c${controllers.size + 1}")
        bootstrap = bootstrap - controller.name + replacement
        return add(replacement, mayFound = false)
    }

    /** [controller] loses its disk and is away for [duration]. */
    fun wipe(controller: SimulatedController, duration: Duration) {
        faults += "${network.elapsed()} wipe ${controller.name} $duration"
        controller.wipe()
        run(duration)
        controller.start()
    }

    /** All controllers and entries lose power for [duration]. */
    fun losePower(duration: Duration) {
        faults += "${network.elapsed()} losePower $duration"
        val lost = running
        lost.forEach { it.stop() }
        run(duration)
        lost.forEach { it.start() }
        restartEntries()
    }

    /** [controller] is cut off from the other controllers for [duration]. */
    fun cutOff(controller: SimulatedController, duration: Duration) {
        faults += "${network.elapsed()} cutOff ${controller.name} $duration"
        controller.isPartitioned = true
        run(duration)
        controller.isPartitioned = false
    }

    /**
     * The disks of all controllers are full for [duration] one after another, [pause] apart. A
     * controller that ends because of it is started again after a moment, full disk or not.
     */
    fun fillDisksInTurn(duration: Duration, pause: Duration) {
        faults += "${network.elapsed()} fillDisksInTurn $duration $pause"
        running.shuffled(random).forEach { controller ->
            controller.isDiskFull = true
            val end = network.elapsed() + duration
            while (network.elapsed() < end) {
                run(RESTART_DELAY)
                controller.start()
            }
            controller.isDiskFull = false
            run(RESTART_DELAY)
            controller.start()
            run(pause)
        }
    }

    /** Whether a change sent now is acknowledged within [duration]. */
    fun acknowledgesWithin(duration: Duration): Boolean {
        val before = publishedVersion
        run(duration)
        return acknowledged > before
    }

    /** One misses changes, one of the others loses its disk, the third is away when the cut heals. */
    fun leaveOnlyOneBehind(missed: Duration, away: Duration) {
        faults += "${network.elapsed()} leaveOnlyOneBehind $missed $away"
        val (behind, wiped, dark) = running.shuffled(random)
        behind.isPartitioned = true
        run(missed)
        wiped.wipe()
        dark.stop()
        behind.isPartitioned = false
        wiped.start()
        restartEntries()
        run(away)
        dark.start()
    }

    override fun toString(): String = "$faults; ${controllers.values.joinToString("; ")}"

    fun restartEntries() = entries.forEach { it.restart() }

    fun anyRunning(): SimulatedController = running.random(random)

    /** A fault within the tolerance, and the time for its repair. */
    fun disturb() {
        when (random.nextInt(6)) {
            0 -> replace(anyRunning(), random.nextInt(200, 2_000).milliseconds)

            1 -> wipe(leader ?: anyRunning(), random.nextInt(100, 3_000).milliseconds)

            2 -> cutOff(anyRunning(), random.nextInt(500, 6_000).milliseconds)

            3 -> leaveOnlyOneBehind(
                random.nextInt(300, 2_000).milliseconds,
                random.nextInt(500, 4_000).milliseconds,
            )

            4 -> losePower(random.nextInt(100, 2_000).milliseconds)

            else -> restartEntries()
        }
        awaitRepair()
        run(random.nextInt(2_000, 5_000).milliseconds)
    }

    /** Waits until all running controllers are voters. */
    private fun awaitRepair() {
        val startedAt = network.elapsed()
        while (!isRepaired()) {
            if (network.elapsed() - startedAt >= REPAIR_LIMIT) {
                unrepaired += "$this"
                return
            }
            step()
        }
        repairTimes += network.elapsed() - startedAt
    }

    private fun isRepaired(): Boolean {
        val members = leader?.members ?: return false
        return running.all { members.isVoter(it.name, it.identity) }
    }

    /** Whether a controller returns the newest acknowledged version within [duration]. */
    fun canBeRead(duration: Duration): Boolean {
        val end = network.elapsed() + duration
        while (network.elapsed() < end) {
            val expected = acknowledged
            val replies = running.map { it.routing(RoutingCall.Read) }
            run(READ_TIME)
            val read = replies.filter { it.isDone }.map { it.get() }
                .filterIsInstance<RoutingReply.Current>()
                .maxOfOrNull { it.state.configuration?.version ?: 0 }
            if (read != null) return read >= expected
        }
        return false
    }

    /** Whether all entries have the newest acknowledged version. */
    fun allEntriesServeAcknowledged(): Boolean = entries.all { it.version >= acknowledged }

    private fun step() {
        network.advance(STEP)
        running.forEach { it.advance() }
        entries.forEach { it.advance() }
        publish()
    }

    private fun publish() {
        publications.removeIf { (version, reply) ->
            if (!reply.isDone) return@removeIf false
            if (reply.get() == RoutingReply.Done) acknowledged = maxOf(acknowledged, version)
            true
        }
        if (!isPublishing || network.elapsed() - publishedAt < PUBLISH_INTERVAL) return
        publishedAt = network.elapsed()
        publishedVersion += 1
        val configuration = RoutingConfiguration(publishedVersion)
        running.forEach {
            val reply = it.routing(RoutingCall.Publish(configuration, Payload.EMPTY))
            publications += publishedVersion to reply
        }
    }

    private inner class Entry(private val number: Int) {
        private val sessions = HashMap<ProcessName, Pair<Int, PeerSession>>()
        private var incarnation = 0L
        private var acknowledgedBefore = 0L
        private var revision = 0L
        var version = 0L
            private set

        fun restart() {
            incarnation += 1
            sessions.clear()
            acknowledgedBefore = acknowledged
            revision = 0
            version = 0
        }

        fun advance() = running.forEach { controller ->
            if (sessions[controller.name]?.first == controller.incarnation) return@forEach
            val own = incarnation
            val hello = Hello(ProcessName("e$number"), DataCenterName("lj"), Incarnation(own))
            lateinit var session: PeerSession
            session = LossySession(hello, network) {
                if (own == incarnation) receive(controller, session, it)
            }
            sessions[controller.name] = controller.incarnation to session
            controller.receive(session, RoutingRequest(revision))
        }

        private fun request(controller: SimulatedController, session: PeerSession) {
            val request = RoutingRequest(revision)
            network.send { controller.receive(session, request) }
        }

        private fun receive(
            controller: SimulatedController,
            session: PeerSession,
            message: PeerMessage,
        ) {
            when (message) {
                is RoutingUpdate ->
                    message.configuration?.let { apply(message.revision, it.version) }

                is RoutingChange -> if (message.base == revision) {
                    apply(message.revision, message.difference?.version ?: version)
                }

                is RoutingCurrent -> if (message.revision > revision) request(controller, session)

                else -> Unit
            }
        }

        private fun apply(revision: Long, version: Long) {
            if (revision <= this.revision) return
            if (this.revision == 0L && version < acknowledgedBefore) {
                reverted += "entry $number began to serve with $version at " +
                    "${network.elapsed()}, $acknowledgedBefore was acknowledged"
            }
            this.revision = revision
            this.version = version
        }
    }

    private companion object {
        const val ENTRIES = 4

        /** Time after which the platform starts a process that has ended by itself. */
        val RESTART_DELAY = 300.milliseconds
        val STEP = 20.milliseconds
        val PUBLISH_INTERVAL = 300.milliseconds
        val READ_TIME = 1_200.milliseconds

        /** Time after a fault within which controllers have to lead and vote again. */
        val REPAIR_LIMIT = 12.seconds
    }
}
