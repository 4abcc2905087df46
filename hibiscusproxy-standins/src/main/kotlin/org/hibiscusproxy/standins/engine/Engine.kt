package org.hibiscusproxy.standins.engine

import java.util.concurrent.Callable
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import org.hibiscusproxy.standins.answers.ChatMessage
import org.hibiscusproxy.standins.answers.promptOf
import org.slf4j.LoggerFactory

/**
 * The engine's state and its only thread. Each step of the batch gives one token to each running
 * request whose prefill is over. All state below is confined to that thread; other threads submit
 * tasks to it.
 *
 * @param exit ends the process with the given code
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
    private val recent = BoundedMap<String, EngineRequest>(RECENT_RUNS)
    private val executions = BoundedMap<String, Int>(COUNTED_REQUESTS)
    private val reports = ArrayDeque<Pair<Long, EngineLoad>>()
    private val orders = ArrayDeque<EngineOrder>()
    private var highestFencingNumber = Long.MIN_VALUE
    private var stepIsScheduled = false
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
        thread.scheduleAtFixedRate(::recordLoad, 0, REPORT_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    /** Starts [run] or puts it in line; false when too many wait. */
    fun submit(run: EngineRequest): Boolean = onThread {
        if (running.size >= options.slots && waiting.size >= options.maximumWaiting) {
            rejected++
            return@onThread false
        }
        waiting += run
        recent[run.requestId] = run
        startWaiting()
        true
    }

    /** Ends the request [requestId]; null when it is unknown, false when it had ended before. */
    fun cancel(requestId: String): Boolean? = onThread {
        recent[requestId]?.let(::cancelRun)
    }

    /** The newest run of [requestId]. */
    fun find(requestId: String): EngineRequest? = onThread { recent[requestId] }

    /** Adds a reader and tells it at once about what there is. */
    fun attach(run: EngineRequest, reader: TokenListener) {
        thread.execute {
            run.readers += reader
            reader.requestChanged()
        }
    }

    /** Removes a reader; a run without any reader is cancelled after the resume time. */
    fun detach(run: EngineRequest, reader: TokenListener) {
        thread.execute {
            run.readers -= reader
            if (run.readers.isEmpty()) cancelUnlessResumed(run)
        }
    }

    /** The load as it was one lag ago. */
    fun load(): EngineLoad = onThread {
        val newest = System.nanoTime() - options.reportLagMilliseconds * NANOSECONDS_PER_MILLISECOND
        if (options.reportLagMilliseconds == 0L) return@onThread currentLoad()
        while (reports.size > 1 && reports[1].first - newest <= 0) reports.removeFirst()
        reports.first().second
    }

    /** Exact counts. */
    fun stats(): EngineStats = onThread {
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

    /** Published cache events after number [after]. */
    fun cacheEvents(after: Long): CacheEventPage = onThread { events.after(after) }

    /** Takes [order]; false when its fencing number is stale and the engine checks numbers. */
    fun accept(order: EngineOrder): Boolean = onThread {
        if (options.checkFencing && order.fencingNumber < highestFencingNumber) {
            return@onThread false
        }
        highestFencingNumber = maxOf(highestFencingNumber, order.fencingNumber)
        if (orders.size == KEPT_ORDERS) orders.removeFirst()
        orders += order
        if (order.kind.startsWith(LOAD_PREFIX)) coldStart.restart()
        true
    }

    /** The newest accepted orders. */
    fun orders(): EngineOrders = onThread { EngineOrders(highestFencingNumber, orders.toList()) }

    /** Makes the engine cold for [seconds], or for its configured time when null. */
    fun becomeCold(seconds: Double?) = onThread {
        coldStart.restart(seconds)
        cache.clear()
    }

    /** Cached blocks at the start of the prompt of [messages]. */
    fun exportPrefix(messages: List<ChatMessage>): CacheTransfer = onThread {
        val prompt = PromptTokens.of(promptOf(messages))
        val cached = cache.lookUp(prompt)
        val blocks = prompt.blocks.take(cached / PromptTokens.BLOCK_TOKENS)
        CacheTransfer(blocks.map { it.toULong().toString(radix = 16) }, cached)
    }

    /** Stores the blocks of [transfer]. */
    fun importPrefix(transfer: CacheTransfer) = onThread {
        val blocks = transfer.blocks.map { it.toULong(radix = 16).toLong() }
        cache.store(blocks.toLongArray(), requestId = null)
    }

    /** Waits while the engine has stopped answering. */
    fun awaitAnswering() {
        while (isStalled()) Thread.sleep(STALL_CHECK_MILLISECONDS)
    }

    override fun close() {
        thread.shutdownNow()
    }

    private fun <T> onThread(task: () -> T): T = thread.submit(Callable(task)).get()

    private fun isStalled(): Boolean = System.nanoTime() - stalledUntilNanoseconds < 0

    private fun startWaiting() {
        while (running.size < options.slots && waiting.isNotEmpty()) {
            val next = waiting.minBy { it.priority }
            waiting -= next
            start(next)
        }
    }

    private fun start(run: EngineRequest) {
        run.state = RequestState.RUNNING
        running += run
        maximumRunning = maxOf(maximumRunning, running.size)
        started++
        executions[run.requestId] = (executions[run.requestId] ?: 0) + 1
        run.cachedTokens = minOf(cache.lookUp(run.tokens), run.tokens.count - 1)
        promptTokens += run.tokens.count
        cachedTokens += run.cachedTokens
        val uncached = run.tokens.count - run.cachedTokens
        val prefillMilliseconds = uncached / TOKENS_OF_PREFILL_RATE *
            options.prefillMillisecondsPerThousandTokens * coldStart.slowdown
        run.firstTokenNanoseconds =
            System.nanoTime() + (prefillMilliseconds * NANOSECONDS_PER_MILLISECOND).toLong()
        if (coldStart.isCold && running.size > options.coldSlots) fallOver()
        scheduleSteps()
    }

    private fun fallOver() {
        fallOvers++
        log.warn("engine: {} falls over, {} running while cold", options.name, running.size)
        if (options.fallOver == FallOver.EXIT) {
            exit(CRASH_EXIT_CODE)
            return
        }
        val stallNanoseconds = (options.stallSeconds * NANOSECONDS_PER_SECOND).toLong()
        stalledUntilNanoseconds = System.nanoTime() + stallNanoseconds
        coldStart.restart()
    }

    private fun scheduleSteps() {
        if (stepIsScheduled) return
        stepIsScheduled = true
        nextStepNanoseconds = System.nanoTime()
        scheduleNextStep()
    }

    private var nextStepNanoseconds = 0L

    private fun scheduleNextStep() {
        nextStepNanoseconds += options.tokenMilliseconds * NANOSECONDS_PER_MILLISECOND
        val delay = nextStepNanoseconds - System.nanoTime()
        if (delay < 0) nextStepNanoseconds -= delay
        thread.schedule(::step, delay, TimeUnit.NANOSECONDS)
    }

    private fun step() {
        // A failed step must not end the steps of all other requests.
        runCatching { if (!isStalled()) giveTokens() }
            .onFailure { log.error("engine: {} failed in a step", options.name, it) }
        stepIsScheduled = running.isNotEmpty()
        if (stepIsScheduled) scheduleNextStep()
    }

    private fun giveTokens() {
        val now = System.nanoTime()
        val ready = running.filter { it.firstTokenNanoseconds - now <= 0 }
        for (run in ready) {
            if (run.crashesEngine) {
                log.warn("engine: {} crashes on request {}", options.name, run.requestId)
                exit(CRASH_EXIT_CODE)
            }
            if (run.produced == 0) cache.store(run.tokens.blocks, run.requestId)
            run.produced++
            if (run.produced >= run.maximumTokens) complete(run)
            run.readers.toList().forEach(TokenListener::requestChanged)
        }
        startWaiting()
    }

    private fun complete(run: EngineRequest) {
        run.state = RequestState.COMPLETED
        running -= run
        completed++
        coldStart.requestCompleted()
        cache.store(run.tokens.followedBy(run.answer, run.produced).blocks, run.requestId)
    }

    private fun cancelRun(run: EngineRequest): Boolean {
        if (run.state.isFinal) return false
        run.state = RequestState.CANCELLED
        running -= run
        waiting -= run
        cancelled++
        run.readers.toList().forEach(TokenListener::requestChanged)
        startWaiting()
        return true
    }

    private fun cancelUnlessResumed(run: EngineRequest) {
        if (run.state.isFinal) return
        val check = Runnable { if (run.readers.isEmpty()) cancelRun(run) }
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
        if (reports.size > KEPT_REPORTS) reports.removeFirst()
    }

    private companion object {
        const val CRASH_EXIT_CODE = 70
        const val COUNTED_REQUESTS = 10_000
        const val RECENT_RUNS = 512
        const val KEPT_ORDERS = 1_000
        const val KEPT_REPORTS = 4_096
        const val REPORT_MILLISECONDS = 50L
        const val STALL_CHECK_MILLISECONDS = 50L
        const val TOKENS_OF_PREFILL_RATE = 1_000.0
        const val NANOSECONDS_PER_SECOND = 1e9
        const val LOAD_PREFIX = "load-"
        val log = LoggerFactory.getLogger(Engine::class.java)
    }
}

/** A map that forgets its oldest entries beyond [limit]. */
internal class BoundedMap<K, V>(private val limit: Int) : LinkedHashMap<K, V>() {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > limit
}
