package org.hibiscusproxy.forwarding

import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.forwarding.RoutingFixture.engines
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.FleetLoad
import org.hibiscusproxy.protocol.TargetUse

/**
 * Plays requests with long prompts for a service of model engines, without a network. Forwarders
 * learn each other's load and prompts from reports that are 250 to 500 ms old. Counts the shared
 * tokens that engines read although another engine of the service holds them, and those copied.
 */
internal class EngineFleetSimulation(seed: Int, private val events: List<Event>) {
    /** Something that happens from [start] on. */
    sealed class Event(val start: Duration) {
        /** Answers of all engines fail at random for a time. */
        class Failures(
            start: Duration,
            val duration: Duration,
            val share: Double,
            val areBroken: Boolean = false,
        ) : Event(start)

        /** More requests than usual. */
        class Burst(start: Duration, val duration: Duration, val factor: Double) : Event(start)

        /** Engines are added, cold at first. */
        class Added(start: Duration, val count: Int) : Event(start)
    }

    /** Tokens by what happened to them. */
    data class Tokens(
        var readAgain: Long = 0,
        var copied: Long = 0,
        var cached: Long = 0,
        var movedByRetries: Long = 0,
    )

    private class Engine(val listed: DiscoveredTarget, val addedAt: Duration) {
        val cache = PrefixCacheEstimate(MEMORY_TOKENS)
        var prefillEnd = Duration.ZERO
        var running = 0
    }

    private class Stream(
        val forwarder: Int,
        val engine: Engine,
        val attempt: PlacedAttempt,
        val result: AttemptResult,
        val firstPart: Duration,
        val end: Duration,
    ) {
        var isAnswered = false
        var onEnd: () -> Unit = {}
    }

    private val random = Random(seed)
    private val time = TestTimeSource()
    private val listed = (1..ENGINES).mapTo(mutableListOf()) { Engine(target(it), Duration.ZERO) }
    private val queues = List(FORWARDERS) { SentPromptQueue() }
    private val selectors = List(FORWARDERS) {
        TargetSelector(2.0, time, Random(seed * 1_000 + it), DataCenterName("dc-${it % 3}"))
    }
    private var reports: List<List<TargetUse>> = selectors.map { emptyList() }
    private val streams = mutableListOf<Stream>()
    private var now = Duration.ZERO
    private var requests = 0

    /** Tokens by second. */
    val tokens = HashMap<Long, Tokens>()
    var late = 0
        private set
    var refused = 0
        private set
    var served = 0
        private set

    /** Most tokens of requests that an engine held at once. */
    var mostRunning = 0
        private set

    init {
        list()
    }

    private fun target(number: Int, cold: Long = 0) =
        RoutingFixture.target(number, engines, SLOTS, coldMilliseconds = cold)

    private fun list() = selectors.forEach { selector ->
        selector.updateRouting(SERVICES, emptySet())
        selector.updateTargets(
            listed.map {
                val cold = if (it.addedAt >
                    Duration.ZERO
                ) {
                    COLD - (now - it.addedAt)
                } else {
                    Duration.ZERO
                }
                it.listed.copy(coldMilliseconds = cold.inWholeMilliseconds.coerceAtLeast(0))
            },
        )
    }

    fun play(duration: Duration): EngineFleetSimulation {
        while (now < duration) {
            events.filter { it is Event.Added && it.start == now }
                .forEach { add((it as Event.Added).count) }
            if (now.inWholeMilliseconds % REPORT_MILLISECONDS == 0L) share()
            if (now.inWholeMilliseconds % LIST_MILLISECONDS == 0L) list()
            advanceStreams()
            val factor = events.filterIsInstance<Event.Burst>()
                .firstOrNull { now in it.start..it.start + it.duration }?.factor ?: 1.0
            if (random.nextDouble() < PER_SECOND * factor / 1_000) arrive()
            now += 1.milliseconds
            time += 1.milliseconds
        }
        return this
    }

    /** Shared tokens by what happened to them between [start] and [end]. */
    fun tokens(start: Duration, end: Duration): Tokens {
        val counted = tokens.filterKeys { it.seconds >= start && it.seconds < end }.values
        return Tokens(
            counted.sumOf { it.readAgain },
            counted.sumOf { it.copied },
            counted.sumOf { it.cached },
            counted.sumOf { it.movedByRetries },
        )
    }

    private fun add(count: Int) {
        repeat(count) { listed += Engine(target(listed.size + 1), now) }
        list()
    }

    private fun share() {
        val all = reports
        selectors.forEachIndexed { own, selector ->
            val uses = all.filterIndexed { index, _ -> index != own }.flatten()
                .groupBy { it.target }
                .map { (target, list) ->
                    TargetUse(target, list.sumOf { it.running }, list.sumOf { it.pendingTokens })
                }
            selector.updateFleetLoad(FleetLoad(FORWARDERS, uses, queues[own].take()))
        }
        reports = selectors.map { it.ownUsage() }
        selectors.forEachIndexed { own, selector ->
            selector.takeSentPrompts().forEach { sent ->
                queues.forEachIndexed { index, queue -> if (index != own) queue.add(sent) }
            }
        }
    }

    private fun prompt(): Prompt {
        val kind = KINDS[random.nextInt(KINDS.size)]
        val number = (PROMPTS * random.nextDouble().pow(SKEW)).toInt()
        requests += 1
        val parts = listOf(
            PromptPart("kind-${kind.shared}-$number", kind.shared),
            PromptPart("own-$requests", kind.own),
        )
        return Prompt("m", parts, kind.shared + kind.own, kind.output)
    }

    private fun arrive() = send(random.nextInt(FORWARDERS), prompt(), emptySet(), now)

    private fun send(
        index: Int,
        prompt: Prompt,
        excluded: Set<TargetName>,
        sentAt: Duration,
        isRetry: Boolean = false,
    ) {
        val remaining = TIMEOUT - (now - sentAt)
        val request = PlacementRequest(engines, prompt, OBJECTIVE, remaining, excluded)
        val choice = selectors[index].choose(request)
        if (choice !is PlacementChoice.Chosen) {
            refused += 1
            return
        }
        val engine = listed.first { it.listed.name == choice.target.name }
        val attempt = selectors[index].begin(engine.listed.name, prompt)
        if (isFailing()) {
            val result = when {
                failures()?.areBroken == true -> AttemptResult.CONNECTION_BROKEN
                else -> AttemptResult.FAILED
            }
            engine.running += 1
            val stream = Stream(index, engine, attempt, result, now, now + FAILURE_TIME)
            if (!isRetry) stream.onEnd = { retry(index, prompt, engine, sentAt) }
            streams += stream
            return
        }
        run(
            index,
            engine,
            attempt,
            prompt,
            isRetry,
            listed.firstOrNull {
                it.listed ==
                    choice.cachedAt
            },
        )
    }

    private fun retry(index: Int, prompt: Prompt, failed: Engine, sentAt: Duration) {
        val name = failed.listed.name
        val excluded = if (selectors[index].mayRepeatAt(name)) emptySet() else setOf(name)
        send(index, prompt, excluded, sentAt, isRetry = true)
    }

    private fun failures(): Event.Failures? = events.filterIsInstance<Event.Failures>()
        .firstOrNull { now >= it.start && now < it.start + it.duration }

    private fun isFailing(): Boolean = failures().let {
        it != null && random.nextDouble() < it.share
    }

    private fun run(
        index: Int,
        engine: Engine,
        attempt: PlacedAttempt,
        prompt: Prompt,
        isRetry: Boolean,
        source: Engine?,
    ) {
        val shared = prompt.sharedParts.single()
        val isCached = engine.cache.containsAll(listOf(shared))
        val isHeldBySource = source?.cache?.containsAll(listOf(shared)) == true
        // An engine in trouble also fails to hand out prefixes.
        val isCopied = !isCached && isHeldBySource && !isFailing()
        val isHeld = listed.any { it.cache.containsAll(listOf(shared)) }
        val count = tokens.getOrPut(now.inWholeSeconds) { Tokens() }
        when {
            isCached -> count.cached += shared.tokens
            isCopied -> count.copied += shared.tokens
            isHeld -> count.readAgain += shared.tokens
        }
        if (isRetry && !isCached) count.movedByRetries += shared.tokens
        val own = prompt.promptTokens - shared.tokens
        val work = when {
            isCached -> own.toDouble()
            isCopied -> own + shared.tokens / COPY_SPEED
            else -> prompt.promptTokens.toDouble()
        }
        engine.prefillEnd =
            maxOf(engine.prefillEnd, now) + (work / TOKENS_PER_MILLISECOND).milliseconds
        engine.cache.add(prompt.parts)
        engine.running += 1
        mostRunning = maxOf(mostRunning, engine.running)
        val firstPart = engine.prefillEnd + STEP
        if (firstPart - now > OBJECTIVE) late += 1 else served += 1
        val end = firstPart + STEP * prompt.outputTokens.toDouble() * (1 + engine.running / 100.0)
        streams += Stream(index, engine, attempt, AttemptResult.ANSWERED, firstPart, end)
    }

    private fun advanceStreams() {
        val done = streams.filter(::advance)
        streams.removeAll(done)
        done.forEach { it.onEnd() }
    }

    private fun advance(stream: Stream): Boolean {
        val selector = selectors[stream.forwarder]
        val isAnswered = stream.result == AttemptResult.ANSWERED
        if (isAnswered && !stream.isAnswered && now >= stream.firstPart) {
            stream.isAnswered = true
            selector.recordFirstPart(stream.attempt)
        }
        val isDone = now >= stream.end
        if (isDone) {
            stream.engine.running -= 1
            selector.end(stream.attempt, stream.result)
        }
        return isDone
    }

    private class Kind(val shared: Long, val own: Long, val output: Long)

    companion object {
        const val FORWARDERS = 12
        const val ENGINES = 36
        const val PROMPTS = 130
        private const val SLOTS = 64
        private const val MEMORY_TOKENS = 400_000L
        private const val PER_SECOND = 150.0

        /** The tenth of the prompts that is used most gets about half of the requests. */
        private const val SKEW = 3
        private const val TOKENS_PER_MILLISECOND = 60.0

        /** Copying compared with reading. */
        private const val COPY_SPEED = 4.0
        private const val REPORT_MILLISECONDS = 250L
        private const val LIST_MILLISECONDS = 1_000L
        private val STEP = 5.5.milliseconds
        private val FAILURE_TIME = 20.milliseconds
        private val COLD = 3.seconds
        private val OBJECTIVE = 600.milliseconds
        private val TIMEOUT = 5.seconds
        private val KINDS = listOf(Kind(8_620, 580, 50), Kind(2_041, 360, 25), Kind(603, 110, 280))
        private val SERVICES = listOf(
            ForwardingService(engines, "/health", 300, 20.0, EngineCapacity(SLOTS, MEMORY_TOKENS)),
        )
    }
}
