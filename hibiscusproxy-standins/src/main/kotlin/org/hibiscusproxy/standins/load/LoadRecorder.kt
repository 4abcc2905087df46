package org.hibiscusproxy.standins.load

/** Collects the results of all requests. Its lock guards the counts; durations have their own. */
class LoadRecorder {
    /** From the planned arrival to the first token. */
    val firstToken = DurationRecorder()

    /** Between two tokens of one answer. */
    val betweenTokens = DurationRecorder()

    /** From the planned arrival to the end of the answer. */
    val whole = DurationRecorder()

    /** From the engine's sending to the caller's receiving of a token. */
    val relayDelay = DurationRecorder()

    /** From the planned arrival of a booking to its answer. */
    val booking = DurationRecorder()

    private var intervalStarted = 0L
    private var totalStarted = 0L
    private var finished = 0L
    private var promptTokens = 0L
    private var cachedTokens = 0L
    private var latestStartNanoseconds = 0L
    private var interval = OutcomeCounts()
    private var total = OutcomeCounts()
    private val examples = ArrayList<String>()

    /** A request was started [lateNanoseconds] after its planned time. */
    @Synchronized
    fun started(lateNanoseconds: Long) {
        intervalStarted++
        totalStarted++
        latestStartNanoseconds = maxOf(latestStartNanoseconds, lateNanoseconds)
    }

    /** The request described by [request] ended with [outcome]. */
    @Synchronized
    fun finished(request: String, outcome: RequestOutcome) {
        finished++
        interval = interval.plus(outcome)
        total = total.plus(outcome)
        if (outcome is RequestOutcome.Complete) {
            promptTokens += outcome.promptTokens
            cachedTokens += outcome.cachedTokens
        }
        val isFault = outcome is RequestOutcome.Broken ||
            outcome is RequestOutcome.Wrong ||
            outcome is RequestOutcome.Lost
        if (isFault && examples.size < MAXIMUM_EXAMPLES) examples += "$request: $outcome"
    }

    /** Requests started and not yet finished. */
    @get:Synchronized
    val inProgress: Long get() = totalStarted - finished

    /** Results since the last call. */
    @Synchronized
    fun second(number: Int): LoadLine.Second {
        val line = LoadLine.Second(number, intervalStarted, inProgress, interval, lastDurations())
        intervalStarted = 0
        interval = OutcomeCounts()
        return line
    }

    /** Results of the whole run. */
    @Synchronized
    fun summary(seconds: Double, executions: ExecutionCheck?): LoadLine.Summary {
        lastDurations()
        return LoadLine.Summary(
            seconds = seconds,
            started = totalStarted,
            outcomes = total,
            cachedShare = if (promptTokens == 0L) 0.0 else cachedTokens.toDouble() / promptTokens,
            promptTokens = promptTokens,
            cachedTokens = cachedTokens,
            durations = durations(DurationRecorder::total),
            latestStartMilliseconds = latestStartNanoseconds / NANOSECONDS_PER_MILLISECOND,
            executions = executions,
            examples = examples.toList(),
        )
    }

    private fun lastDurations(): Durations = durations(DurationRecorder::lastInterval)

    private fun durations(read: (DurationRecorder) -> Distribution) = Durations(
        firstToken = read(firstToken),
        betweenTokens = read(betweenTokens),
        whole = read(whole),
        relayDelay = read(relayDelay),
        booking = read(booking),
    )

    private fun OutcomeCounts.plus(outcome: RequestOutcome): OutcomeCounts = when (outcome) {
        is RequestOutcome.Complete -> copy(ok = ok + 1)
        is RequestOutcome.NotRun -> copy(notRun = notRun.plusOne(outcome.type))
        is RequestOutcome.Unknown -> copy(unknown = unknown.plusOne(outcome.type))
        is RequestOutcome.Broken -> copy(broken = broken + 1)
        is RequestOutcome.Wrong -> copy(wrong = wrong + 1)
        is RequestOutcome.Lost -> copy(lost = lost + 1)
    }

    private fun Map<String, Long>.plusOne(type: String) = this + (type to (this[type] ?: 0L) + 1)

    private companion object {
        const val MAXIMUM_EXAMPLES = 20
        const val NANOSECONDS_PER_MILLISECOND = 1e6
    }
}
