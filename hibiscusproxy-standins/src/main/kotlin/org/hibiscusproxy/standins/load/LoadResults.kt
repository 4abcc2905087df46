package org.hibiscusproxy.standins.load

import java.util.concurrent.TimeUnit
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import org.HdrHistogram.Recorder

/** Number of requests per outcome. */
@Serializable
data class OutcomeCounts(
    val ok: Long = 0,
    val notRun: Map<String, Long> = emptyMap(),
    val unknown: Map<String, Long> = emptyMap(),
    val broken: Long = 0,
    val wrong: Long = 0,
    val lost: Long = 0,
)

/** Distribution of a duration in milliseconds. */
@Serializable
data class Distribution(
    val count: Long,
    val mean: Double,
    val p50: Double,
    val p95: Double,
    val p99: Double,
    val maximum: Double,
)

/** All measured durations. */
@Serializable
data class Durations(
    val firstToken: Distribution,
    val betweenTokens: Distribution,
    val whole: Distribution,
    val relayDelay: Distribution,
    val booking: Distribution,
)

/** Requests whose execution counts contradict the outcome that the client received. */
@Serializable
data class ExecutionCheck(
    val bookingsRunMoreThanOnce: List<String>,
    val runDespiteNotRun: List<String>,
    val completeWithoutExecution: List<String>,
) {
    /** Whether all execution counts match the outcomes sent to clients. */
    val isClean: Boolean
        get() = bookingsRunMoreThanOnce.isEmpty() &&
            runDespiteNotRun.isEmpty() &&
            completeWithoutExecution.isEmpty()
}

/** One line of the load tool's output. */
@Serializable
sealed class LoadLine {
    /** Results of one second. */
    @Serializable
    @SerialName("second")
    data class Second(
        val second: Int,
        val started: Long,
        val inProgress: Long,
        val outcomes: OutcomeCounts,
        val durations: Durations,
    ) : LoadLine()

    /**
     * Results of the whole run.
     *
     * @property cachedShare cached share of the prompt tokens of complete answers, 0 to 1
     * @property examples descriptions of the first requests with a broken, wrong or lost answer
     */
    @Serializable
    @SerialName("summary")
    data class Summary(
        val seconds: Double,
        val started: Long,
        val outcomes: OutcomeCounts,
        val cachedShare: Double,
        val promptTokens: Long,
        val cachedTokens: Long,
        val durations: Durations,
        val latestStartMilliseconds: Double,
        val executions: ExecutionCheck? = null,
        val examples: List<String> = emptyList(),
    ) : LoadLine() {
        /** Whether no answer was wrong, broken or lost and no execution check failed. */
        val isClean: Boolean
            get() = outcomes.broken == 0L && outcomes.wrong == 0L && outcomes.lost == 0L &&
                executions?.isClean != false
    }
}

/** Histogram of durations, recorded by many threads and read by one. */
class DurationRecorder {
    private val recorder = Recorder(SIGNIFICANT_DIGITS)
    private val total = Histogram(SIGNIFICANT_DIGITS)

    /** Records [nanoseconds]; a negative difference, caused by a clock step, counts as 0. */
    fun record(nanoseconds: Long) =
        recorder.recordValue(TimeUnit.NANOSECONDS.toMicros(nanoseconds.coerceAtLeast(0)))

    /** Returns the distribution since the last call. */
    fun lastInterval(): Distribution {
        val interval = recorder.intervalHistogram
        total.add(interval)
        return distributionOf(interval)
    }

    /** Returns the distribution from the start to the last call of [lastInterval]. */
    fun total(): Distribution = distributionOf(total)

    private fun distributionOf(histogram: Histogram) = Distribution(
        count = histogram.totalCount,
        mean = milliseconds(histogram.mean),
        p50 = milliseconds(histogram.getValueAtPercentile(50.0).toDouble()),
        p95 = milliseconds(histogram.getValueAtPercentile(95.0).toDouble()),
        p99 = milliseconds(histogram.getValueAtPercentile(99.0).toDouble()),
        maximum = milliseconds(histogram.maxValue.toDouble()),
    )

    private fun milliseconds(microseconds: Double): Double =
        Math.round(microseconds) / MICROSECONDS_PER_MILLISECOND

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
        const val MICROSECONDS_PER_MILLISECOND = 1_000.0
    }
}
