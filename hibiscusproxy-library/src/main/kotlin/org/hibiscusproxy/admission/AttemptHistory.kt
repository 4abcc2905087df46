package org.hibiscusproxy.admission

import java.util.BitSet
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.hibiscusproxy.placement.Hashing
import org.hibiscusproxy.protocol.Attempt

/**
 * Attempts seen within [retention], so that each is decided on only once. The retention is longer
 * than any request's deadline. An older attempt cannot arrive, because an entry closes its
 * connection to a sidecar that is silent for longer.
 *
 * To bound memory, the oldest attempts beyond [capacity] move to a Bloom filter of fixed size. It
 * has no false negatives within the retention. A false positive refuses an unseen attempt, which is
 * reported as not run and retried on another target under a new number.
 */
internal class AttemptHistory(
    private val timeSource: TimeSource.WithComparableMarks,
    private val retention: Duration,
    private val capacity: Int = DEFAULT_CAPACITY_ATTEMPTS,
) {
    private val seen = LinkedHashMap<Attempt, ComparableTimeMark>()
    private val filter = BitSet()
    private var newestMarkInFilter: ComparableTimeMark? = null

    /** Number of attempts stored exactly, outside the Bloom filter. */
    val size: Int get() = seen.size

    /** Records [attempt] and returns false if it was seen before. */
    fun record(attempt: Attempt): Boolean {
        expire()
        if (attempt in seen || isInFilter(attempt)) return false
        if (seen.size >= capacity) moveOldestToFilter()
        seen[attempt] = timeSource.markNow()
        return true
    }

    private fun expire() {
        val entries = seen.entries.iterator()
        while (entries.hasNext()) {
            if (entries.next().value.elapsedNow() <= retention) break
            entries.remove()
        }
        if ((newestMarkInFilter ?: return).elapsedNow() > retention) {
            filter.clear()
            newestMarkInFilter = null
        }
    }

    private fun moveOldestToFilter() {
        val (attempt, mark) = seen.entries.first()
        seen.remove(attempt)
        newestMarkInFilter = mark
        for (index in bitIndexes(attempt)) filter.set(index)
    }

    private fun isInFilter(attempt: Attempt): Boolean =
        newestMarkInFilter != null && bitIndexes(attempt).all { filter[it] }

    private fun bitIndexes(attempt: Attempt): List<Int> {
        val hash = Hashing.of(attempt.request.value, attempt.number.toLong())
        return List(HASH_COUNT) {
            (Hashing.combine(hash, it.toLong()) ushr HASH_SHIFT_BITS).toInt()
        }
    }

    private companion object {
        const val DEFAULT_CAPACITY_ATTEMPTS = 20_000
        const val HASH_COUNT = 4

        /** Gives 20-bit indexes: a 128 KiB filter, 0.02% false positives with 32,000 attempts. */
        const val HASH_SHIFT_BITS = 44
    }
}
