package org.hibiscusproxy.standins.load

/**
 * Collects the results of all requests. The counts are guarded by the lock of this object; the
 * duration recorders are synchronized separately.
 */
class LoadRecorder {
    /** Time from the planned arrival to the first token. */
    val firstToken = DurationRecorder()

    /** Time between two consecutive tokens of an answer. */
    val betweenTokens = DurationRecorder()

    /** Time from the planned arrival to the end of the answer. */
    val whole = DurationRecorder()

    /** Time from the sending of a token by the engine to its receipt by the client. */
    val relayDelay = DurationRecorder()

    /** Time from the planned arrival of a booking to its answer. */
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

    /** Records that a request was sent [lateNanoseconds] after its planned time. */
    @Synchronized
    fun started(lateNanoseconds: Long) {
        intervalStarted++
        totalStarted++
        latestStartNanoseconds = maxOf(latestStartNanoseconds, lateNanoseconds)
    }

    /** Records the outcome of the request described by [request]. */
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

    /** Number of requests that are sent but not finished. */
    @get:Synchronized
    val inProgress: Long get() = totalStarted - finished

    /** Returns the results since the last call. */
    @Synchronized
    fun takeSecond(number: Int): LoadLine.Second {
        val durations = intervalDurations()
        val line = LoadLine.Second(number, intervalStarted, inProgress, interval, durations)
        intervalStarted = 0
        interval = OutcomeCounts()
        return line
    }

    /** Returns the results of the whole run. */
    @Synchronized
    fun summary(seconds: Double, executions: ExecutionCheck?): LoadLine.Summary {
        intervalDurations()
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

    private fun intervalDurations(): Durations = durations(DurationRecorder::lastInterval)

    private fun durations(distributionOf: (DurationRecorder) -> Distribution) = Durations(
        firstToken = distributionOf(firstToken),
        betweenTokens = distributionOf(betweenTokens),
        whole = distributionOf(whole),
        relayDelay = distributionOf(relayDelay),
        booking = distributionOf(booking),
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
