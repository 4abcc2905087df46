package org.hibiscusproxy.rollout

/**
 * Numbers of answers of one or more targets.
 *
 * @property answers complete answers
 * @property failures failed answers, which are not part of [answers]
 * @property times number of complete answers by time, in the classes of [AnswerTimes]; shorter or
 * empty if the last classes have none
 */
data class AnswerCounts(
    val answers: Long = 0,
    val failures: Long = 0,
    val times: List<Long> = emptyList(),
) {
    /** Number of all answers, failed ones included. */
    val total: Long get() = answers + failures

    /** Returns the sum of both counts. */
    operator fun plus(other: AnswerCounts) = AnswerCounts(
        answers + other.answers,
        failures + other.failures,
        List(maxOf(times.size, other.times.size)) { times.at(it) + other.times.at(it) },
    )

    /** Returns what was counted since [earlier], an earlier value of the same cumulative counts. */
    fun since(earlier: AnswerCounts) = AnswerCounts(
        (answers - earlier.answers).coerceAtLeast(0),
        (failures - earlier.failures).coerceAtLeast(0),
        List(times.size) { (times[it] - earlier.times.at(it)).coerceAtLeast(0) },
    )

    private fun List<Long>.at(index: Int): Long = getOrElse(index) { 0 }
}

/** Counts of a report. */
internal fun VersionEvidence.counts() =
    AnswerCounts(answers.toLong(), failures.toLong(), times.map { it.toLong() })
