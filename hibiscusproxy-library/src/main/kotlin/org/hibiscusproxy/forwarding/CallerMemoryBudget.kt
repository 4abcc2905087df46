package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Limits the memory that connections of clients hold together, and decides which of them has to give
 * up its part. Bodies that are not complete go first, those without progress before others and the
 * largest of them first; then answers that their client does not read. What belongs to a request in
 * progress is counted and never given up. Small bodies may use a reserve beyond the limit, so that
 * ordinary requests go through beside large ones.
 *
 * Not safe for concurrent use.
 *
 * @param T what identifies a connection
 * @param limitBytes bytes that all connections may hold together
 */
class CallerMemoryBudget<T : Any>(
    private val limitBytes: Long,
    private val time: TimeSource.WithComparableMarks,
) {
    private val holdings = HashSet<Holding>()

    /** Bytes that all connections hold. */
    var usedBytes = 0L
        private set

    private val hardLimitBytes = limitBytes + limitBytes / RESERVE_DIVISOR

    /** What the connection of [owner] holds. Its properties are bytes. */
    inner class Holding internal constructor(val owner: T) {
        /** Body that is not complete. */
        var unfinished = 0L
            private set

        /** Body of the request in progress and pipelined requests. */
        var inProgress = 0L
            private set

        /** Parts of answers that the client has not read. */
        var unread = 0L
            private set
        private var progressAt: ComparableTimeMark = time.markNow()

        internal val isStalled: Boolean get() = progressAt.elapsedNow() >= STALLED_AFTER
        internal val isUnreadForLong: Boolean get() = progressAt.elapsedNow() >= UNREAD_AFTER

        /** Sets what the connection holds, after something was received or read by the client. */
        fun update(
            unfinished: Long = this.unfinished,
            inProgress: Long = this.inProgress,
            unread: Long = this.unread,
        ) {
            val isProgress = unfinished > this.unfinished || unread < this.unread ||
                inProgress != this.inProgress || this.unread == 0L
            if (isProgress) progressAt = time.markNow()
            usedBytes += unfinished + inProgress + unread
            usedBytes -= this.unfinished + this.inProgress + this.unread
            this.unfinished = unfinished
            this.inProgress = inProgress
            this.unread = unread
            if (unfinished + inProgress + unread > 0) holdings += this else holdings -= this
        }

        /** Returns all that the connection holds. */
        fun release() = update(0, 0, 0)
    }

    /** Starts to count what [owner] holds. */
    fun open(owner: T): Holding = Holding(owner)

    /**
     * Returns the holdings that must be given up so that the rest is within the limit, first ones
     * first. [current] is the one that has grown; it is among them if nothing else can be given up.
     */
    fun excess(current: Holding): List<Excess<T>> {
        if (usedBytes <= limitBytes) return emptyList()
        val given = ArrayList<Excess<T>>()
        var left = usedBytes
        for (holding in candidates()) {
            if (left <= limitBytes) return given
            left -= holding.unfinished + holding.unread
            val isBody = holding.unfinished > 0
            given += if (isBody) Excess.Body(holding.owner) else Excess.Answer(holding.owner)
        }
        val isRefused = left > hardLimitBytes && current.unfinished > 0
        if (isRefused && given.none { it.owner == current.owner }) {
            given += Excess.Refused(current.owner)
        }
        return given
    }

    private fun candidates(): List<Holding> {
        val bodies = holdings.filter { it.unfinished > SMALL_BYTES }
            .sortedWith(
                compareByDescending<Holding> {
                    it.isStalled
                }.thenByDescending { it.unfinished },
            )
        val answers = holdings.filter { it.unfinished == 0L && it.unread > 0 && it.isUnreadForLong }
            .sortedByDescending { it.unread }
        return bodies + answers
    }

    companion object {
        /** Bodies up to this size are not given up for others; ordinary requests are smaller. */
        const val SMALL_BYTES = 65_536L

        /** Small bodies and requests in progress may exceed the limit by this part of it. */
        private const val RESERVE_DIVISOR = 4L

        /** A client that sends at all sends something within this time. */
        private val STALLED_AFTER = 500.milliseconds

        /** Targets cut off answers that stay unread for some seconds. */
        private val UNREAD_AFTER = 2.seconds

        /** The rest is for connections, routing and copies made while sending. */
        private const val HEAP_DIVISOR = 4L

        /** Smallest limit that lets one body of the greatest size through. */
        private const val MINIMUM_BYTES = 6_291_456L

        /** Limit in bytes for a maximum heap of [heapBytes]. */
        fun defaultBytes(heapBytes: Long): Long = maxOf(heapBytes / HEAP_DIVISOR, MINIMUM_BYTES)
    }
}
