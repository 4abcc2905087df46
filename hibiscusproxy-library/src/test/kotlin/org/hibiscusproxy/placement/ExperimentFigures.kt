package org.hibiscusproxy.placement

import kotlin.math.ceil
import kotlin.math.max
import org.HdrHistogram.Histogram

/** Metrics of one run. Engine loads are sampled every 100 ms. */
internal class ExperimentFigures(private val fromMillis: Double, private val multiple: Double) {
    private val firstTokens = Histogram(2)
    private var promptBlocks = 0L
    private var cachedBlocks = 0L
    private var ownBlocks = 0L
    private var cachedOwnBlocks = 0L
    private var idealCachedBlocks = 0L
    private var samples = 0
    private var runningSum = 0.0
    private val excesses = sortedMapOf<Int, Int>()
    var worstRatio = 0.0
    var refused = 0
    var attempts = 0
    var requests = 0
    var coldOverloads = 0
    val otherTeamsBefore = Histogram(2)
    val otherTeamsDuring = Histogram(2)

    fun arrived(turn: Turn, idealCached: Int) {
        if (turn.atMillis < fromMillis) return
        requests++
        idealCachedBlocks += idealCached
    }

    fun served(turn: Turn, cached: Int, firstTokenMillis: Double) {
        if (turn.atMillis < fromMillis) return
        promptBlocks += turn.promptBlocks
        cachedBlocks += cached
        ownBlocks += turn.ownBlocks
        cachedOwnBlocks += max(0, cached - turn.manualBlocks)
        firstTokens.recordValue((firstTokenMillis - turn.atMillis).toLong())
    }

    fun sample(nowMillis: Double, running: List<Int>) {
        if (nowMillis < fromMillis || running.isEmpty()) return
        samples++
        val mean = running.average()
        val maximum = running.max()
        runningSum += mean
        val excess = maximum - ceil(multiple * mean - 1e-9).toInt()
        if (excess > 0) excesses.merge(excess, 1, Int::plus)
        if (mean >= 4) worstRatio = max(worstRatio, maximum / mean)
    }

    val reuse get() = cachedBlocks.toDouble() / max(1, idealCachedBlocks)
    val ownReuse get() = cachedOwnBlocks.toDouble() / max(1, ownBlocks)
    val firstTokenP95 get() = firstTokens.getValueAtPercentile(95.0)
    val excessShare get() = excesses.values.sum().toDouble() / max(1, samples)
    val worstExcess get() = excesses.keys.maxOrNull() ?: 0
    val burstFactor
        get() = otherTeamsDuring.getValueAtPercentile(95.0).toDouble() /
            max(1, otherTeamsBefore.getValueAtPercentile(95.0))

    /** Returns the table row for [HEADER]. */
    fun row(name: String): String = listOf(
        name,
        "%.3f".format(reuse),
        "%.3f".format(ownReuse),
        "%.2f%% / +%d".format(excessShare * 100, worstExcess),
        "%.2f".format(worstRatio),
        "$firstTokenP95",
        "%.2f%%".format(100.0 * refused / max(1, requests)),
        "%.2f".format(attempts.toDouble() / max(1, requests)),
        "$coldOverloads",
        "%.1f".format(runningSum / max(1, samples)),
        if (otherTeamsDuring.totalCount == 0L) {
            "-"
        } else {
            "${p95(otherTeamsBefore)} → ${p95(otherTeamsDuring)}"
        },
    ).joinToString(" | ", "| ", " |")

    private fun p95(histogram: Histogram) = histogram.getValueAtPercentile(95.0)

    companion object {
        const val HEADER = "| policy | reuse of best | own turns reused | samples above bound " +
            "/ worst | max/mean | p95 ms | refused | attempts | cold overloads | " +
            "mean running | others' p95 ms in burst |\n| --- " +
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    }
}
