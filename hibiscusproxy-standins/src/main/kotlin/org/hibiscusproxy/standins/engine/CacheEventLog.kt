package org.hibiscusproxy.standins.engine

import kotlin.random.Random
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Kind of a [CacheEvent]. */
@Serializable
enum class CacheEventKind {
    /** The blocks were added to the cache. */
    @SerialName("stored")
    STORED,

    /** The blocks were evicted. */
    @SerialName("removed")
    REMOVED,

    /** All blocks were evicted. */
    @SerialName("cleared")
    CLEARED,
}

/**
 * A change of an engine's prefix cache.
 *
 * @property sequence sequence number, starting at 1; a lost event leaves a gap
 * @property blocks block hashes in hexadecimal, in prefix order
 * @property requestId request that stored the blocks; null for evictions and imports
 */
@Serializable
data class CacheEvent(
    val sequence: Long,
    val kind: CacheEventKind,
    val blocks: List<String>,
    val requestId: String?,
)

/**
 * Response to `GET /cache-events`.
 *
 * @property lastStartMilliseconds start of the engine, since the epoch; sequence numbers restart
 *   there
 * @property next value of `after` for the next request
 */
@Serializable
data class CacheEventPage(
    val engine: String,
    val lastStartMilliseconds: Long,
    val events: List<CacheEvent>,
    val next: Long,
)

/**
 * Log of the engine's published cache events. Events are published after a fixed delay, a share of
 * them is dropped, and only the newest are retained. Not thread-safe.
 *
 * @param now monotonic time in nanoseconds
 */
class CacheEventLog(
    private val options: EngineOptions,
    private val startMilliseconds: Long,
    private val now: () -> Long,
) : CacheObserver {
    private class Entry(val recordedNanoseconds: Long, val event: CacheEvent)

    private val random = Random(options.seed)
    private val entries = ArrayDeque<Entry>()
    private var sequence = 0L

    override fun stored(blocks: List<Long>, requestId: String?) =
        add(CacheEventKind.STORED, blocks, requestId)

    override fun removed(blocks: List<Long>) = add(CacheEventKind.REMOVED, blocks)

    override fun cleared() = add(CacheEventKind.CLEARED, emptyList())

    /** Events with a sequence number above [after] whose publication delay has passed. */
    fun after(after: Long): CacheEventPage {
        val publishedUntil = now() - options.eventLagMilliseconds * NANOSECONDS_PER_MILLISECOND
        val events = entries
            .filter { it.event.sequence > after && it.recordedNanoseconds - publishedUntil <= 0 }
            .map { it.event }
        val next = events.lastOrNull()?.sequence ?: after
        return CacheEventPage(options.name, startMilliseconds, events, next)
    }

    private fun add(kind: CacheEventKind, blocks: List<Long>, requestId: String? = null) {
        sequence++
        if (random.nextDouble() < options.eventGapShare) return
        if (entries.size == MAXIMUM_ENTRIES) entries.removeFirst()
        val hashes = blocks.map { it.toULong().toString(radix = 16) }
        val event = CacheEvent(sequence, kind, hashes, requestId)
        entries += Entry(now(), event)
    }

    private companion object {
        const val MAXIMUM_ENTRIES = 2_000
    }
}

internal const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
