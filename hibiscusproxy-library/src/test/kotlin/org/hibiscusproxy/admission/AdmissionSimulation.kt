package org.hibiscusproxy.admission

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.forwarding.AttemptResult
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.EngineCapacity
import org.hibiscusproxy.forwarding.ForwardingService
import org.hibiscusproxy.forwarding.PlacedAttempt
import org.hibiscusproxy.forwarding.PlacementChoice
import org.hibiscusproxy.forwarding.PlacementRequest
import org.hibiscusproxy.forwarding.Prompt
import org.hibiscusproxy.forwarding.PromptPart
import org.hibiscusproxy.forwarding.RefusalReason
import org.hibiscusproxy.forwarding.TargetSelector
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.FleetLoad
import org.hibiscusproxy.protocol.ServicePressure
import org.hibiscusproxy.protocol.TargetUse

/**
 * Forwarders, the leader's sums of their reports, targets of a plain service and their callers, in
 * virtual time. A forwarder's figures of the others are 250 to 500 ms old.
 */
internal class AdmissionSimulation(
    seed: Int,
    val groups: List<CallerGroup>,
    private val forwarderCount: Int = 12,
    targetCount: Int = 3,
    private val slots: Int = 6,
    queueSize: Int = 24,
    private val work: Duration = 21.milliseconds,
    private val objective: Duration = 130.milliseconds,
    private val engine: EngineCapacity? = null,
) {
    private val timeout = maxOf(TIMEOUT, objective * 2)
    private val served = ForwardingService(SERVICE, "/health", 100, engine = engine)
    private val random = Random(seed)
    private val time = TestTimeSource()
    private val startedAt: ComparableTimeMark = time.markNow()
    private val listed = List(targetCount) { listed(it) }
    private val targets = listed.associate { it.name to SimulatedTarget(slots, queueSize) }
    private val lost = HashSet<TargetName>()
    private val selectors = List(forwarderCount) {
        TargetSelector(2.0, time, Random(random.nextInt())).apply {
            updateRouting(listOf(served), emptySet())
            updateTargets(listed)
        }
    }
    private val events = java.util.PriorityQueue<Event>(compareBy { it.at })
    private val uses = MutableList(forwarderCount) { emptyList<TargetUse>() }
    private val pressures = MutableList(forwarderCount) { emptyList<ServicePressure>() }

    /** Requests a second that the targets can do. */
    val capacity: Double = targetCount * slots / (work / 1.seconds)

    /** Refusals while under half of the slots were in use and nothing waited. */
    var wrongRefusals = 0
        private set
    var overloadRefusals = 0
        private set

    /** Answers after the objective. */
    var lateAnswers = 0
        private set

    /** Attempts that a target refused because it was full. */
    var targetRefusals = 0
        private set
    val shortages = ArrayList<ShortageChange>()

    /** Reports that named the demand by rank and team. */
    var pressureReports = 0
        private set
    val retryAfters = HashMap<Int, MutableList<Duration>>()

    private class Event(val at: ComparableTimeMark, val run: () -> Unit)

    private fun listed(number: Int) = DiscoveredTarget(
        TargetName("orders-$number"),
        SERVICE,
        NetworkAddress("10.0.0.$number", 8080),
        DataCenterName("a"),
        isLeaving = false,
        slots = slots,
    )

    private fun schedule(delay: Duration, run: () -> Unit) {
        events += Event(time.markNow() + delay, run)
    }

    /** Ends [count] targets; the list of targets follows after 400 ms. */
    fun loseTargets(count: Int) {
        lost += listed.take(count).map { it.name }
        lost.forEach { targets.getValue(it).clear() }
        schedule(LIST_DELAY) {
            selectors.forEach { it.updateTargets(listed.filter { target -> target.name !in lost }) }
        }
    }

    /** Plays [duration]; the figures of the groups count from its begin. */
    fun play(duration: Duration) {
        groups.forEach {
            it.sent = 0
            it.served = 0
        }
        wrongRefusals = 0
        overloadRefusals = 0
        pressureReports = 0
        lateAnswers = 0
        targetRefusals = 0
        retryAfters.clear()
        val end = time.markNow() + duration
        while (time.markNow() < end) {
            val now = time.markNow()
            targets.forEach { (name, target) -> if (name !in lost) target.advance(now) }
            while (events.isNotEmpty() && events.peek().at <= now) events.poll().run()
            val step = startedAt.elapsedNow().inWholeMilliseconds.toInt()
            selectors.indices.forEach {
                if (step % REPORT_STEPS ==
                    it * 20 % REPORT_STEPS
                ) {
                    report(it)
                }
            }
            if (step % REPORT_STEPS == 0) sendLoads()
            groups.forEach { group ->
                repeat(arrivals(group.perSecond * (STEP / 1.seconds))) {
                    group.sent += 1
                    Request(group).send()
                }
            }
            time += STEP
        }
    }

    /** Number of arrivals with the mean [mean], Poisson distributed. */
    private fun arrivals(mean: Double): Int {
        var count = 0
        var sum = -ln(1 - random.nextDouble())
        while (sum < mean) {
            count += 1
            sum += -ln(1 - random.nextDouble())
        }
        return count
    }

    private fun report(index: Int) {
        val selector = selectors[index]
        uses[index] = selector.ownUsage()
        pressures[index] = selector.admission.report()
        if (pressures[index].isNotEmpty()) pressureReports += 1
        shortages += selector.admission.takeChanges()
    }

    private fun sendLoads() = selectors.forEachIndexed { index, selector ->
        val others = uses.filterIndexed { sender, _ -> sender != index }.flatten()
        val sums = others.groupBy { it.target }
            .map { (target, ofTarget) -> TargetUse(target, ofTarget.sumOf { it.running }) }
        val pressure = pressures.filterIndexed { sender, _ -> sender != index }.flatten()
        selector.updateFleetLoad(
            FleetLoad(forwarderCount, sums, pressure = ServicePressure.sum(pressure)),
        )
    }

    private inner class Request(private val group: CallerGroup) {
        private val sentAt = time.markNow()
        private var arrivedAt = sentAt
        private val tried = LinkedHashSet<TargetName>()
        private var selector = selectors.random(random)
        private val prompt = engine?.let {
            val parts =
                listOf(
                    PromptPart("shared-${random.nextInt(SHARED_PROMPTS)}", 603),
                    PromptPart("own-${group.sent}", 110),
                )
            Prompt("m", parts, promptTokens = 713, outputTokens = 50)
        }

        fun send() {
            selector = selectors.random(random)
            arrivedAt = time.markNow()
            tried.clear()
            choose()
        }

        private fun choose() {
            val request = PlacementRequest(
                SERVICE,
                prompt,
                objective - arrivedAt.elapsedNow(),
                timeout - arrivedAt.elapsedNow(),
                tried,
                rank = group.rank,
                team = group.key.team,
            )
            when (val choice = selector.choose(request)) {
                is PlacementChoice.Chosen -> start(choice.target.name)
                is PlacementChoice.Refused -> refused(choice)
            }
        }

        private fun refused(refusal: PlacementChoice.Refused) {
            val usable = targets.filterKeys { it !in lost }.values
            if (refusal.reason == RefusalReason.OVERLOADED && tried.isEmpty()) {
                overloadRefusals += 1
                retryAfters.getOrPut(group.rank) { ArrayList() } += refusal.retryAfter
                val isHalfFree = usable.sumOf { it.freeSlots } * 2 > usable.size * slots
                if (isHalfFree && usable.all { it.waiting == 0 }) wrongRefusals += 1
            }
            if (sentAt.elapsedNow() + refusal.retryAfter < PATIENCE) {
                schedule(refusal.retryAfter) { send() }
            }
        }

        private fun start(target: TargetName) {
            tried += target
            val attempt = selector.begin(target, prompt)
            if (prompt != null) schedule(PREFILL) { selector.recordFirstPart(attempt) }
            schedule(NETWORK) {
                val isTaken = target !in lost && targets.getValue(target)
                    .offer(time.markNow(), work * (0.8 + 0.4 * random.nextDouble())) {
                        schedule(NETWORK) { answered(attempt) }
                    }
                if (!isTaken) schedule(NETWORK) { failed(attempt, target) }
            }
        }

        private fun answered(attempt: PlacedAttempt) {
            selector.recordFirstPart(attempt)
            selector.end(attempt, AttemptResult.ANSWERED)
            if (arrivedAt.elapsedNow() <= objective) group.served += 1 else lateAnswers += 1
        }

        private fun failed(attempt: PlacedAttempt, target: TargetName) {
            val result =
                if (target in lost) AttemptResult.UNREACHABLE else AttemptResult.INCONCLUSIVE
            selector.end(attempt, result)
            targetRefusals += 1
            if (tried.size < MAXIMUM_ATTEMPTS) choose()
        }
    }

    companion object {
        val SERVICE = ServiceName("orders")
        private val STEP = 1.milliseconds
        private const val REPORT_STEPS = 250
        private val NETWORK = 1.milliseconds

        /** Prompts that requests share, so that no engine is preferred for all. */
        private const val SHARED_PROMPTS = 16

        /** Time to the first event of an engine. */
        private val PREFILL = 30.milliseconds
        private val LIST_DELAY = 400.milliseconds

        private val TIMEOUT = 1.seconds

        /** Callers come back after a refusal within this time from their first call. */
        private val PATIENCE = 1.seconds
        private const val MAXIMUM_ATTEMPTS = 3
    }
}
