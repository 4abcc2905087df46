package org.hibiscusproxy.daemon.controller

import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.forwarding.RetryLimiter
import org.hibiscusproxy.forwarding.TargetSelector
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.protocol.EntryLoad
import org.hibiscusproxy.protocol.FleetLoad
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.RoutingRequest

/**
 * Forwarders and three controllers in virtual time. Each caller's request whose target answers an
 * error asks for one retry. The retries of all forwarders are compared with the limit of the fleet.
 */
internal class RetryFleetSimulation(
    seed: Int,
    forwarderCount: Int,
    private val requestsPerSecond: Double,
    private val slack: Double = 62.0,
) {
    val random = Random(seed)
    private val time = TestTimeSource()
    private val startedAt: ComparableTimeMark = time.markNow()
    val now: Duration get() = startedAt.elapsedNow()

    /** Share of the requests whose target answers an error. */
    var errorShare = 0.0

    val controllers = List(CONTROLLERS) { Controller(it) }
    val forwarders = MutableList(forwarderCount) { Forwarder(it) }
    private val requests = ArrayList<Int>()
    private val retries = ArrayList<Int>()
    var asked = 0
        private set
    var allowed = 0
        private set

    /** A controller's part that counts and tells the forwarders. */
    inner class Controller(val number: Int) {
        var isLeading = number == 0
        var isUp = true
        var feed = newFeed()
            private set

        private fun newFeed() = EntryFeed(
            ControlState(),
            time,
            { time.markNow().takeIf { isLeading } },
            { emptyList() },
        )

        /** Ends the process; all it knew is lost. */
        fun stop() {
            isUp = false
            forwarders.forEach { it.disconnect(this) }
            feed = newFeed()
        }
    }

    inner class Forwarder(private val number: Int) {
        private val sessions = HashMap<Controller, Session>()
        private val reconnectAt = HashMap<Controller, Duration>()
        private var life = 0
        private var limiter = newLimiter()
        private var selector = newSelector()
        private var reportAt = Duration.ZERO
        var startsAt = Duration.ZERO
            private set

        /** Controllers that this forwarder cannot reach. */
        val unreachable = HashSet<Controller>()
        val isUp: Boolean get() = now >= startsAt

        private fun newLimiter() = RetryLimiter(RATIO, slack, WINDOW, time)

        private fun newSelector() = TargetSelector(loadMultiple = 1.0, time, random)

        /** Ends the process, which is back after [pause]. */
        fun restart(pause: Duration) {
            controllers.forEach(::disconnect)
            life += 1
            startsAt = now + pause
        }

        fun disconnect(controller: Controller) {
            sessions.remove(controller)?.let(controller.feed::disconnected)
            reconnectAt[controller] = now + random.nextInt(100, 700).milliseconds
        }

        fun advance() {
            if (!isUp) return
            if (now - STEP < startsAt) {
                limiter = newLimiter()
                selector = newSelector()
            }
            controllers.forEach(::advance)
            if (now < reportAt) return
            reportAt = now + REPORT_INTERVAL
            sessions.forEach { (controller, session) ->
                if (controller.isLeading) controller.feed.report(session, EntryLoad(emptyList()))
            }
        }

        private fun advance(controller: Controller) {
            if (controller in unreachable || !controller.isUp) {
                if (controller in sessions) disconnect(controller)
            } else if (controller !in sessions && now >= (reconnectAt[controller] ?: now)) {
                val session = Session("forwarder-$number", life)
                sessions[controller] = session
                controller.feed.subscribe(session, RoutingRequest(1))
            }
        }

        /** Forwards one request; returns whether it was sent once more. */
        fun forward(isError: Boolean): Boolean {
            limiter.recordRequest(SERVICE)
            return isError && limiter.tryTake(SERVICE, selector.reportedForwarders)
        }

        private inner class Session(name: String, life: Int) : PeerSession {
            override val remote =
                Hello(ProcessName(name), DataCenterName("a"), Incarnation(life + 1L))

            override fun send(message: PeerMessage) {
                if (message is FleetLoad && isUp) selector.updateFleetLoad(message)
            }

            override fun close() = Unit
        }
    }

    /** Advances by [duration]; [onStep] is called before each step. */
    fun run(duration: Duration, onStep: () -> Unit = {}) {
        val end = now + duration
        while (now < end) {
            onStep()
            controllers.filter { it.isUp }.forEach { it.feed.advance() }
            forwarders.forEach { it.advance() }
            sendRequests()
            time += STEP
        }
    }

    private fun sendRequests() {
        val up = forwarders.filter { it.isUp }
        val mean = requestsPerSecond * (STEP / 1.seconds)
        val count = if (up.isEmpty()) {
            0
        } else {
            mean.toInt() +
                if (random.nextDouble() < mean % 1) 1 else 0
        }
        var sentAgain = 0
        repeat(count) {
            val isError = random.nextDouble() < errorShare
            if (isError) asked += 1
            if (up.random(random).forward(isError)) sentAgain += 1
        }
        allowed += sentAgain
        requests += count
        retries += sentAgain
    }

    /** Most retries in a window, beyond those that the fleet may send in it; positive if too many. */
    fun worstExcess(): Double {
        val size = (WINDOW / STEP).toInt()
        val requestSums = requests.runningFold(0, Int::plus)
        val retrySums = retries.runningFold(0, Int::plus)

        fun List<Int>.within(end: Int): Int =
            this[end.coerceIn(0, lastIndex)] - this[(end - size).coerceIn(0, lastIndex)]
        return (1..requests.size).maxOf { end ->
            val counted = listOf(end, end - size / 2, end - size).maxOf { requestSums.within(it) }
            retrySums.within(end) - (RATIO * counted + slack)
        }
    }

    companion object {
        val STEP = 50.milliseconds
        val WINDOW = 10.seconds
        const val RATIO = 0.2
        private const val CONTROLLERS = 3
        private val REPORT_INTERVAL = 250.milliseconds
        private val SERVICE = ServiceName("orders")
    }
}
