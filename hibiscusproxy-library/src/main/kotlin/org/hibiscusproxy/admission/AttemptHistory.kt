package org.hibiscusproxy.admission

import java.util.BitSet
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.hibiscusproxy.placement.Hashing
import org.hibiscusproxy.protocol.Attempt

/**
 * Attempts seen within [retention], so that none is decided about twice. Retention is longer than
 * any request's deadline; an entry drops its connection to a sidecar that is silent for longer, so
 * an older attempt cannot arrive any more.
 *
 * Memory is bounded: beyond [capacity] the oldest attempts move to a Bloom filter of fixed size.
 * It never forgets within the retention and errs only by refusing an attempt that was not seen,
 * which is reported as not run and goes elsewhere under a new number.
 */
internal class AttemptHistory(
    private val timeSource: TimeSource.WithComparableMarks,
    private val retention: Duration,
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val seen = LinkedHashMap<Attempt, ComparableTimeMark>()
    private val filter = BitSet()
    private var newestInFilter: ComparableTimeMark? = null

    /** Attempts kept exactly. */
    val size: Int get() = seen.size

    /** Returns false when [attempt] was seen before. */
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
        if ((newestInFilter ?: return).elapsedNow() > retention) {
            filter.clear()
            newestInFilter = null
        }
    }

    private fun moveOldestToFilter() {
        val (attempt, mark) = seen.entries.first()
        seen.remove(attempt)
        newestInFilter = mark
        for (bit in bits(attempt)) filter.set(bit)
    }

    private fun isInFilter(attempt: Attempt): Boolean =
        newestInFilter != null && bits(attempt).all { filter[it] }

    private fun bits(attempt: Attempt): List<Int> {
        val hash = Hashing.of(attempt.request.value, attempt.number.toLong())
        return List(HASHES) { (Hashing.combine(hash, it.toLong()) ushr SHIFT).toInt() }
    }

    private companion object {
        const val DEFAULT_CAPACITY = 20_000
        const val HASHES = 4

        /** Keeps 20 bits: a filter of 128 KiB, 0.02% wrong refusals with 32,000 attempts in it. */
        const val SHIFT = 44
    }
}
