package org.hibiscusproxy.standins.engine

import java.util.concurrent.Callable
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import org.hibiscusproxy.standins.answers.ChatMessage
import org.hibiscusproxy.standins.answers.promptOf
import org.slf4j.LoggerFactory

/**
 * Simulated inference engine with continuous batching. Each step generates one token for each
 * running request whose prefill has completed. All mutable state is confined to one thread; other
 * threads submit tasks to it.
 *
 * @param exit terminates the process with the given exit code
 */
class Engine(
    private val options: EngineOptions,
    private val exit: (Int) -> Unit = { Runtime.getRuntime().halt(it) },
) : AutoCloseable {
    private val thread = ScheduledThreadPoolExecutor(1) { task ->
        Thread(task, "engine-${options.name}").apply { isDaemon = true }
    }
    private val startMilliseconds = System.currentTimeMillis()
    private val events = CacheEventLog(options, startMilliseconds, System::nanoTime)
    private val cache = PrefixCache(options.cacheBlocks, events)
    private val coldStart = ColdStart(options, System::nanoTime)
    private val running = ArrayList<EngineRequest>()
    private val waiting = ArrayList<EngineRequest>()
    private val recent = BoundedMap<String, EngineRequest>(MAXIMUM_RECENT_REQUESTS)
    private val executions = BoundedMap<String, Int>(MAXIMUM_COUNTED_REQUESTS)
    private val reports = ArrayDeque<Pair<Long, EngineLoad>>()
    private val orders = ArrayDeque<EngineOrder>()
    private var highestFencingNumber = Long.MIN_VALUE
    private var isStepScheduled = false
    private var nextStepNanoseconds = 0L
    private var maximumRunning = 0
    private var started = 0L
    private var completed = 0L
    private var cancelled = 0L
    private var rejected = 0L
    private var promptTokens = 0L
    private var cachedTokens = 0L
    private var fallOvers = 0L

    @Volatile
    private var stalledUntilNanoseconds = System.nanoTime()

    init {
        thread.removeOnCancelPolicy = true
        thread.scheduleAtFixedRate(
            ::recordLoad,
            0,
            REPORT_INTERVAL_MILLISECONDS,
            TimeUnit.MILLISECONDS,
        )
    }

    /** Starts or queues [request]; false when the queue is full. */
    fun submit(request: EngineRequest): Boolean = runOnEngineThread {
        if (running.size >= options.slots && waiting.size >= options.maximumWaiting) {
            rejected++
            return@runOnEngineThread false
        }
        waiting += request
        recent[request.requestId] = request
        startQueuedRequests()
        true
    }

    /** Cancels the request [requestId]; null when it is unknown, false when it has ended. */
    fun cancel(requestId: String): Boolean? = runOnEngineThread {
        recent[requestId]?.let(::cancelRequest)
    }

    /** The newest request with the identifier [requestId]; null when it is unknown. */
    fun find(requestId: String): EngineRequest? = runOnEngineThread { recent[requestId] }

    /** Registers [listener] and notifies it immediately of the tokens generated so far. */
    fun attach(request: EngineRequest, listener: TokenListener) {
        thread.execute {
            request.listeners += listener
            listener.requestChanged()
        }
    }

    /** Removes [listener]; a request without listeners is cancelled after the resume time. */
    fun detach(request: EngineRequest, listener: TokenListener) {
        thread.execute {
            request.listeners -= listener
            if (request.listeners.isEmpty()) cancelUnlessResumed(request)
        }
    }

    /** The load as it was before the configured report lag. */
    fun load(): EngineLoad = runOnEngineThread {
        val reportedUntil =
            System.nanoTime() - options.reportLagMilliseconds * NANOSECONDS_PER_MILLISECOND
        if (options.reportLagMilliseconds == 0L) return@runOnEngineThread currentLoad()
        while (reports.size > 1 && reports[1].first - reportedUntil <= 0) reports.removeFirst()
        reports.first().second
    }

    /** Current statistics, without lag. */
    fun stats(): EngineStats = runOnEngineThread {
        EngineStats(
            engine = options.name,
            running = running.size,
            waiting = waiting.size,
            maximumRunning = maximumRunning,
            started = started,
            completed = completed,
            cancelled = cancelled,
            rejected = rejected,
            promptTokens = promptTokens,
            cachedTokens = cachedTokens,
            fallOvers = fallOvers,
            cold = coldStart.isCold,
            lastStartMilliseconds = startMilliseconds,
            executions = executions.toMap(),
        )
    }

    /** Published cache events with a sequence number above [after]. */
    fun cacheEvents(after: Long): CacheEventPage = runOnEngineThread { events.after(after) }

    /** Accepts [order]; false when fencing is checked and the fencing number is stale. */
    fun accept(order: EngineOrder): Boolean = runOnEngineThread {
        if (options.checkFencing && order.fencingNumber < highestFencingNumber) {
            return@runOnEngineThread false
        }
        highestFencingNumber = maxOf(highestFencingNumber, order.fencingNumber)
        if (orders.size == MAXIMUM_ORDERS) orders.removeFirst()
        orders += order
        if (order.kind.startsWith(LOAD_ORDER_PREFIX)) coldStart.restart()
        true
    }

    /** The newest accepted orders. */
    fun orders(): EngineOrders = runOnEngineThread {
        EngineOrders(highestFencingNumber, orders.toList())
    }

    /** Clears the cache and restarts the warm-up; null stands for its configured length. */
    fun restartCold(seconds: Double?) = runOnEngineThread {
        coldStart.restart(seconds)
        cache.clear()
    }

    /** Cached blocks of the longest cached prefix of the prompt of [messages]. */
    fun exportPrefix(messages: List<ChatMessage>): CacheTransfer = runOnEngineThread {
        val prompt = PromptTokens.of(promptOf(messages))
        val cached = cache.lookUp(prompt)
        val blocks = prompt.blocks.take(cached / PromptTokens.BLOCK_TOKENS)
        CacheTransfer(blocks.map { it.toULong().toString(radix = 16) }, cached)
    }

    /** Stores the blocks of [transfer] in the cache. */
    fun importPrefix(transfer: CacheTransfer) = runOnEngineThread {
        val blocks = transfer.blocks.map { it.toULong(radix = 16).toLong() }
        cache.store(blocks.toLongArray(), requestId = null)
    }

    /** Blocks while the engine is stalled. */
    fun awaitResponsive() {
        while (isStalled()) Thread.sleep(STALL_POLL_MILLISECONDS)
    }

    override fun close() {
        thread.shutdownNow()
    }

    private fun <T> runOnEngineThread(task: () -> T): T = thread.submit(Callable(task)).get()

    private fun isStalled(): Boolean = System.nanoTime() - stalledUntilNanoseconds < 0

    private fun startQueuedRequests() {
        while (running.size < options.slots && waiting.isNotEmpty()) {
            val next = waiting.minBy { it.priority }
            waiting -= next
            start(next)
        }
    }

    private fun start(request: EngineRequest) {
        request.state = RequestState.RUNNING
        running += request
        maximumRunning = maxOf(maximumRunning, running.size)
        started++
        executions[request.requestId] = (executions[request.requestId] ?: 0) + 1
        request.cachedTokens = minOf(cache.lookUp(request.tokens), request.tokens.count - 1)
        promptTokens += request.tokens.count
        cachedTokens += request.cachedTokens
        val uncached = request.tokens.count - request.cachedTokens
        val prefillMilliseconds = uncached / PREFILL_UNIT_TOKENS *
            options.prefillMillisecondsPerThousandTokens * coldStart.slowdown
        request.firstTokenNanoseconds =
            System.nanoTime() + (prefillMilliseconds * NANOSECONDS_PER_MILLISECOND).toLong()
        if (coldStart.isCold && running.size > options.coldSlots) overloadCold()
        ensureStepsScheduled()
    }

    private fun overloadCold() {
        fallOvers++
        log.warn(
            "engine: {} overloaded while cold, {} running, limit {}, reaction {}",
            options.name,
            running.size,
            options.coldSlots,
            options.fallOver,
        )
        if (options.fallOver == FallOver.EXIT) {
            exit(CRASH_EXIT_CODE)
            return
        }
        val stallNanoseconds = (options.stallSeconds * NANOSECONDS_PER_SECOND).toLong()
        stalledUntilNanoseconds = System.nanoTime() + stallNanoseconds
        coldStart.restart()
    }

    private fun ensureStepsScheduled() {
        if (isStepScheduled) return
        isStepScheduled = true
        nextStepNanoseconds = System.nanoTime()
        scheduleNextStep()
    }

    private fun scheduleNextStep() {
        nextStepNanoseconds += options.tokenMilliseconds * NANOSECONDS_PER_MILLISECOND
        val delay = nextStepNanoseconds - System.nanoTime()
        if (delay < 0) nextStepNanoseconds -= delay
        thread.schedule(::step, delay, TimeUnit.NANOSECONDS)
    }

    private fun step() {
        // An exception in one step must not stop the generation for all other requests.
        runCatching { if (!isStalled()) generateTokens() }
            .onFailure { log.error("engine: {} failed to execute a batch step", options.name, it) }
        isStepScheduled = running.isNotEmpty()
        if (isStepScheduled) scheduleNextStep()
    }

    private fun generateTokens() {
        val now = System.nanoTime()
        val ready = running.filter { it.firstTokenNanoseconds - now <= 0 }
        for (request in ready) {
            if (request.crashesEngine) {
                log.warn("engine: {} crashed by poison request {}", options.name, request.requestId)
                exit(CRASH_EXIT_CODE)
            }
            if (request.generated == 0) cache.store(request.tokens.blocks, request.requestId)
            request.generated++
            if (request.generated >= request.maximumTokens) complete(request)
            request.listeners.toList().forEach(TokenListener::requestChanged)
        }
        startQueuedRequests()
    }

    private fun complete(request: EngineRequest) {
        request.state = RequestState.COMPLETED
        running -= request
        completed++
        coldStart.requestCompleted()
        val tokens = request.tokens.followedBy(request.answer, request.generated)
        cache.store(tokens.blocks, request.requestId)
    }

    private fun cancelRequest(request: EngineRequest): Boolean {
        if (request.state.isFinal) return false
        request.state = RequestState.CANCELLED
        running -= request
        waiting -= request
        cancelled++
        request.listeners.toList().forEach(TokenListener::requestChanged)
        startQueuedRequests()
        return true
    }

    private fun cancelUnlessResumed(request: EngineRequest) {
        if (request.state.isFinal) return
        val check = Runnable { if (request.listeners.isEmpty()) cancelRequest(request) }
        thread.schedule(check, options.resumeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun currentLoad() = EngineLoad(
        engine = options.name,
        running = running.size,
        waiting = waiting.size,
        slots = options.slots,
        cold = coldStart.isCold,
        cachedBlocks = cache.size,
        lastStartMilliseconds = startMilliseconds,
    )

    private fun recordLoad() {
        val load = currentLoad()
        if (reports.lastOrNull()?.second == load) return
        reports += System.nanoTime() to load
        if (reports.size > MAXIMUM_REPORTS) reports.removeFirst()
    }

    private companion object {
        const val CRASH_EXIT_CODE = 70
        const val MAXIMUM_COUNTED_REQUESTS = 10_000
        const val MAXIMUM_RECENT_REQUESTS = 512
        const val MAXIMUM_ORDERS = 1_000
        const val MAXIMUM_REPORTS = 4_096
        const val REPORT_INTERVAL_MILLISECONDS = 50L
        const val STALL_POLL_MILLISECONDS = 50L
        const val PREFILL_UNIT_TOKENS = 1_000.0
        const val NANOSECONDS_PER_SECOND = 1e9
        const val LOAD_ORDER_PREFIX = "load-"
        val log = LoggerFactory.getLogger(Engine::class.java)
    }
}

/** A map that evicts its oldest entries beyond [limit]. */
internal class BoundedMap<K, V>(private val limit: Int) : LinkedHashMap<K, V>() {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > limit
}
