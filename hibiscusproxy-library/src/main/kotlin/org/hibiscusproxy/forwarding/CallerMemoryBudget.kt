package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Limits the memory that connections of clients hold together, and decides which of them has to give
 * up its part. Requests that are not complete go first: large ones, those without progress before
 * others and the largest of them first. After them go clients that sent much behind a request in
 * progress, answers that their client does not read, and small requests that began long ago. What
 * belongs to a request in progress is counted and never given up by itself. Small requests may use a
 * reserve beyond the limit, so that ordinary ones go through beside large ones.
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
        /** Request that is not complete. */
        var unfinished = 0L
            private set

        /** Request in progress. */
        var inProgress = 0L
            private set

        /** What was received behind the request in progress. */
        var pipelined = 0L
            private set

        /** Parts of answers that the client has not read. */
        var unread = 0L
            private set
        private var progressAt: ComparableTimeMark = time.markNow()
        internal var unfinishedSince: ComparableTimeMark = time.markNow()
            private set

        internal val isStalled: Boolean get() = progressAt.elapsedNow() >= STALLED_AFTER
        internal val isUnfinishedForLong: Boolean
            get() = unfinishedSince.elapsedNow() >= UNFINISHED_AFTER
        internal val isOnlyUnread: Boolean
            get() = unread > 0 && unfinished == 0L && pipelined <= SMALL_BYTES
        internal val isUnreadForLong: Boolean get() = progressAt.elapsedNow() >= UNREAD_AFTER

        /** Sets what the connection holds, after something was received or read by the client. */
        fun update(
            unfinished: Long = this.unfinished,
            inProgress: Long = this.inProgress,
            unread: Long = this.unread,
            pipelined: Long = this.pipelined,
        ) {
            val isProgress = unfinished > this.unfinished || unread < this.unread ||
                inProgress != this.inProgress || this.unread == 0L
            if (isProgress) progressAt = time.markNow()
            if (this.unfinished == 0L) unfinishedSince = time.markNow()
            usedBytes -= total
            this.unfinished = unfinished
            this.inProgress = inProgress
            this.pipelined = pipelined
            this.unread = unread
            usedBytes += total
            if (total > 0) holdings += this else holdings -= this
        }

        /** Returns all that the connection holds. */
        fun release() = update(0, 0, 0, 0)

        /** All that the connection holds. */
        private val total: Long get() = unfinished + inProgress + pipelined + unread
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
            left -= holding.unfinished + holding.pipelined + holding.unread
            given += when {
                holding.unfinished > 0 -> Excess.Body(holding.owner)
                holding.pipelined > SMALL_BYTES -> Excess.Pipelined(holding.owner)
                else -> Excess.Answer(holding.owner)
            }
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
        val pipelined = holdings.filter { it.pipelined > SMALL_BYTES }
            .sortedByDescending { it.pipelined }
        val small = holdings
            .filter { it.unfinished in 1..SMALL_BYTES && it.isUnfinishedForLong }
            .sortedBy { it.unfinishedSince }
        val answers = holdings.filter { it.isOnlyUnread && it.isUnreadForLong }
            .sortedByDescending { it.unread }
        return bodies + pipelined + answers + small
    }

    companion object {
        /** Requests up to this size are given up only when they began long ago; most are smaller. */
        const val SMALL_BYTES = 65_536L

        /** Small bodies and requests in progress may exceed the limit by this part of it. */
        private const val RESERVE_DIVISOR = 4L

        /** A client that sends at all sends something within this time. */
        private val STALLED_AFTER = 500.milliseconds

        /** Small requests arrive as a whole, or in two parts a round trip apart. */
        private val UNFINISHED_AFTER = 1.seconds

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
